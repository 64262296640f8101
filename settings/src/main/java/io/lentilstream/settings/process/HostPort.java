package io.lentilstream.settings.process;

/**
 * A TCP address.
 *
 * @param host the IP address or host name
 * @param port the port; 0 selects a free port for a listening address
 */
public record HostPort(String host, int port) {

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
