package io.lentilstream.jobs.locality;

import java.util.ArrayList;
import java.util.List;
import java.util.ListIterator;

import io.lentilstream.model.Resources;

/**
 * A forecast of the free resources of a VM.
 */
final class VmForecast {

	private static final Event START = new Event(Long.MIN_VALUE, Long.MIN_VALUE, Resources.NONE);

	/** The expected changes, in the order of their times. */
	private final List<Event> events = new ArrayList<>();

	/** The resources that are free after all changes. */
	private Resources finallyFree;

	VmForecast(Resources free) {
		this.finallyFree = free;
	}

	void release(long at, long highAt, Resources resources) {
		int position = this.events.size();
		while (position > 0 && this.events.get(position - 1).at > at) {
			position--;
		}
		this.events.add(position, new Event(at, highAt, resources));
		this.finallyFree = this.finallyFree.plus(resources);
	}

	/**
	 * Returns the event from which an amount is free without end.
	 * @param size the amount
	 * @return the event, or {@code null} if there is none
	 */
	Event earliestFit(Resources size) {
		if (!size.fitsWithin(this.finallyFree)) {
			return null;
		}
		Resources free = this.finallyFree;
		ListIterator<Event> backwards = this.events.listIterator(this.events.size());
		while (backwards.hasPrevious()) {
			Event event = backwards.previous();
			free = free.minus(event.change);
			if (!size.fitsWithin(free)) {
				return event;
			}
		}
		return START;
	}

	/**
	 * An expected change of the free resources.
	 *
	 * @param at the expected time, in milliseconds
	 * @param highAt the time of a late change, in milliseconds
	 * @param change the resources that become free
	 */
	record Event(long at, long highAt, Resources change) {
	}

}
