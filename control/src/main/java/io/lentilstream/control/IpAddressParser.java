package io.lentilstream.control;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

import io.netty.util.NetUtil;

/**
 * Parses the addresses of VMs. Never resolves a name or looks up a network interface, so
 * that the result does not depend on the machine, and always has an IP address.
 */
public final class IpAddressParser {

	/** Separates an IPv6 address from the network interface of the machine it is for. */
	private static final char SCOPE_SEPARATOR = '%';

	private static final int MAX_PORT = 65_535;

	private IpAddressParser() {
	}

	/**
	 * Parses an address that is valid on all machines.
	 * @param host an IPv4 or IPv6 address
	 * @param port the port
	 * @return the address, or empty if the host is a name or names an interface, or the
	 * port is not between 1 and 65535
	 */
	public static Optional<InetSocketAddress> parse(String host, int port) {
		byte[] bytes = NetUtil.createByteArrayFromIpAddressString(host);
		if (bytes == null || host.indexOf(SCOPE_SEPARATOR) >= 0 || port < 1 || port > MAX_PORT) {
			return Optional.empty();
		}
		try {
			return Optional.of(new InetSocketAddress(InetAddress.getByAddress(bytes), port));
		}
		catch (UnknownHostException ex) {
			throw new IllegalStateException("an address has 4 or 16 bytes", ex);
		}
	}

	/**
	 * Parses an address that another machine has used, without its network interface.
	 * @param host an IPv4 or IPv6 address, with or without an interface
	 * @param port the port
	 * @return the address, or empty if it cannot be parsed
	 */
	public static Optional<InetSocketAddress> parseWithoutScope(String host, int port) {
		int scope = host.indexOf(SCOPE_SEPARATOR);
		return parse((scope >= 0) ? host.substring(0, scope) : host, port);
	}

}
