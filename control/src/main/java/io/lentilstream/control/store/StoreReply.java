package io.lentilstream.control.store;

import java.util.List;

/**
 * The reply to a call to the store, or the reason why there was none.
 *
 * @param <T> the type of the result of a successful call
 */
public sealed interface StoreReply<T> {

	/**
	 * The call succeeded.
	 *
	 * @param <T> the type of the result of a successful call
	 * @param value the result
	 */
	record Ok<T>(T value) implements StoreReply<T> {
	}

	/**
	 * A condition of a commit did not hold. The call had no effect.
	 *
	 * @param <T> the type of the result of a successful call
	 * @param items the current items of the conditions
	 */
	record Conflict<T>(List<StoredItem> items) implements StoreReply<T> {
	}

	/**
	 * The lease or the requested history of changes is gone. The call had no effect.
	 *
	 * @param <T> the type of the result of a successful call
	 */
	record Gone<T>() implements StoreReply<T> {
	}

	/**
	 * The store rejected the call or could not be reached. The call had no effect.
	 *
	 * @param <T> the type of the result of a successful call
	 * @param reason the reason, for the log
	 */
	record NotDone<T>(String reason) implements StoreReply<T> {
	}

	/**
	 * There was no reply. The call may have taken effect, or may do so later if its
	 * conditions still hold.
	 *
	 * @param <T> the type of the result of a successful call
	 * @param reason the reason, for the log
	 */
	record Unknown<T>(String reason) implements StoreReply<T> {
	}

}
