package io.lentilstream.settings.process;

/**
 * Is a TCP address.
 *
 * @param host the IP address or host name
 * @param port the port; 0 chooses a free port where the process listens
 */
public record HostPort(String host, int port) {

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
