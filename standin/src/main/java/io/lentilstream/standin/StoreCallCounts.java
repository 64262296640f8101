package io.lentilstream.standin;

/**
 * Is the number of calls that reached the store, by kind.
 *
 * @param reads reads and lists
 * @param writes writes and lease calls
 * @param watches watches
 */
public record StoreCallCounts(long reads, long writes, long watches) {

	StoreCallCounts plus(StoreCallCounts other) {
		return new StoreCallCounts(this.reads + other.reads, this.writes + other.writes, this.watches + other.watches);
	}

}
