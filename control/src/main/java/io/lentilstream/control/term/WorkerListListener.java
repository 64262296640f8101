package io.lentilstream.control.term;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import io.lentilstream.control.store.PrefixFollower;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;

/**
 * Passes the platform's list of VMs on to the register, and tells whether a VM that left
 * it was silent before.
 */
final class WorkerListListener implements PrefixFollower.Listener {

	/** Time in which VMs are listed again after an outage, in milliseconds. */
	private static final long LISTED_AGAIN_MILLIS = 2000;

	private final Term.Tools tools;

	private final WorkerPlatform platform;

	private final WorkerRegister register;

	private final Steadiness steadiness;

	private final Runnable delivered;

	private final Set<WorkerId> present = new HashSet<>();

	private boolean complete;

	WorkerListListener(Term.Tools tools, WorkerPlatform platform, WorkerRegister register, Steadiness steadiness,
			Runnable delivered) {
		this.tools = tools;
		this.platform = platform;
		this.register = register;
		this.steadiness = steadiness;
		this.delivered = delivered;
	}

	@Override
	public void changed(StoredItem item) {
		WorkerId id = new WorkerId(this.platform.idOf(item.key()));
		if (!item.exists()) {
			unlist(id);
			return;
		}
		this.present.add(id);
		Optional<WorkerListing> listing = this.platform.decode(item);
		if (listing.isPresent()) {
			this.register.list(listing.get());
		}
		else {
			this.tools.log().append("worker-unreadable", item.key(), "revision", item.revision());
		}
	}

	@Override
	public void delivered() {
		if (!this.complete) {
			this.complete = true;
			this.register.registered().stream().filter((id) -> !this.present.contains(id)).forEach(this::unlist);
		}
		this.register.store();
		this.delivered.run();
	}

	private void unlist(WorkerId id) {
		this.register.unlist(id, this.steadiness.lastsAt(this.tools.loop().now()));
	}

	/**
	 * Tells whether the store has been up for so long that a VM leaves the list only if
	 * it shuts down or is silent.
	 *
	 * @param storeSteadySince since when the store has answered all calls, in
	 * milliseconds
	 * @param unlistedAfterMillis silence after which a VM is dropped from the list, in
	 * milliseconds
	 */
	record Steadiness(LongSupplier storeSteadySince, long unlistedAfterMillis) {

		boolean lastsAt(long now) {
			return now - this.storeSteadySince.getAsLong() > this.unlistedAfterMillis + LISTED_AGAIN_MILLIS;
		}

	}

}
