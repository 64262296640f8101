package io.lentilstream.model;

/**
 * The id of a shard of an availability zone or, for requests that must not be repeated,
 * of a region.
 *
 * @param scope the availability zone or region that the shard belongs to
 * @param index the index of the shard within its scope, from 0
 */
public record ShardId(String scope, int index) implements Comparable<ShardId> {

	public ShardId {
		Identifiers.requireValid(scope);
		if (index < 0) {
			throw new IllegalArgumentException("negative shard index");
		}
	}

	@Override
	public int compareTo(ShardId other) {
		int order = this.scope.compareTo(other.scope);
		return (order != 0) ? order : Integer.compare(this.index, other.index);
	}

	@Override
	public String toString() {
		return this.scope + "/" + this.index;
	}

}
