package io.lentilstream.clients;

/**
 * Is a path in the platform's store, such as {@code /teams/bakery}.
 *
 * @param path the path; starts with a slash
 */
public record StoreKey(String path) implements Comparable<StoreKey> {

	public StoreKey {
		if (!path.startsWith("/")) {
			throw new IllegalArgumentException("store key without leading slash");
		}
	}

	/**
	 * Returns the key below this one.
	 * @param name the last part of the path
	 * @return the longer key
	 */
	public StoreKey child(String name) {
		return new StoreKey(this.path + "/" + name);
	}

	@Override
	public int compareTo(StoreKey other) {
		return this.path.compareTo(other.path);
	}

	@Override
	public String toString() {
		return this.path;
	}

}
