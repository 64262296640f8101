package io.lentilstream.control.store;

import java.util.List;

/**
 * The outcome of a call to the store.
 *
 * @param <T> what a successful call returns
 */
public sealed interface StoreReply<T> {

	/**
	 * The call succeeded.
	 *
	 * @param <T> what a successful call returns
	 * @param value what it returned
	 */
	record Ok<T>(T value) implements StoreReply<T> {
	}

	/**
	 * A condition of a commit did not hold; nothing was done.
	 *
	 * @param <T> what a successful call returns
	 * @param items the items of the conditions as they are
	 */
	record Conflict<T>(List<StoredItem> items) implements StoreReply<T> {
	}

	/**
	 * The lease, or the history that was asked for, is gone; nothing was done.
	 *
	 * @param <T> what a successful call returns
	 */
	record Gone<T>() implements StoreReply<T> {
	}

	/**
	 * The store refused the call or was not reached; nothing was done.
	 *
	 * @param <T> what a successful call returns
	 * @param reason why
	 */
	record NotDone<T>(String reason) implements StoreReply<T> {
	}

	/**
	 * There was no answer; the call may have had its effect, or may have it later if its
	 * conditions still hold.
	 *
	 * @param <T> what a successful call returns
	 * @param reason why
	 */
	record Unknown<T>(String reason) implements StoreReply<T> {
	}

}
