package io.lentilstream.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.lentilstream.clients.VmEntry;
import io.lentilstream.clients.http.PlatformJson;
import io.lentilstream.clients.http.PlatformMessages.VmsAnswer;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.VmId;

/**
 * Lists VMs with a lag.
 */
public final class StandinDirectory {

	private final TimerQueue timers;

	private final Duration lag;

	private final Map<VmId, VmEntry> listed = new LinkedHashMap<>();

	private final Deque<Change> pending = new ArrayDeque<>();

	private OutageMode outage;

	StandinDirectory(TimerQueue timers, Duration lag) {
		this.timers = timers;
		this.lag = lag;
	}

	synchronized void addNow(VmEntry entry) {
		this.listed.put(entry.vm(), entry);
	}

	/**
	 * Adds or replaces an entry after the lag.
	 * @param entry the entry
	 */
	public synchronized void put(VmEntry entry) {
		this.pending.add(new Change(this.timers.now().plus(this.lag), entry.vm(), (old) -> Optional.of(entry)));
	}

	/**
	 * Removes a VM after the lag.
	 * @param vm the VM
	 */
	public synchronized void remove(VmId vm) {
		this.pending.add(new Change(this.timers.now().plus(this.lag), vm, (old) -> Optional.empty()));
	}

	/**
	 * Marks a VM as leaving after the lag.
	 * @param vm the VM
	 */
	public synchronized void markLeaving(VmId vm) {
		this.pending.add(new Change(this.timers.now().plus(this.lag), vm,
				(old) -> Optional.ofNullable(old).map(StandinDirectory::leaving)));
	}

	/**
	 * Makes the list unavailable.
	 * @param mode how it answers, or {@code null} to end the outage
	 */
	public synchronized void outage(OutageMode mode) {
		this.outage = mode;
	}

	private static VmEntry leaving(VmEntry entry) {
		return new VmEntry(entry.vm(), entry.role(), VmEntry.Status.LEAVING, entry.zone(), entry.rack(),
				entry.address(), entry.capacity(), entry.team(), entry.service(), entry.slots(), entry.connections());
	}

	void handle(StandinRequest request, Consumer<Reply> answer) {
		OutageMode mode;
		Reply reply;
		synchronized (this) {
			mode = this.outage;
			applyDue();
			String zone = request.path().substring(1);
			List<VmEntry> entries = this.listed.values()
				.stream()
				.filter((entry) -> entry.zone().value().equals(zone))
				.toList();
			reply = Reply.json(200, new VmsAnswer(entries.stream().map(PlatformJson::message).toList()));
		}
		if (mode == null) {
			answer.accept(reply);
			return;
		}
		StoreRoutes.refuse(mode, answer);
	}

	private void applyDue() {
		MonotonicTime now = this.timers.now();
		while (!this.pending.isEmpty() && !this.pending.peek().visibleAt().isAfter(now)) {
			Change change = this.pending.poll();
			Optional<VmEntry> entry = change.change().apply(this.listed.get(change.vm()));
			if (entry.isPresent()) {
				this.listed.put(change.vm(), entry.get());
			}
			else {
				this.listed.remove(change.vm());
			}
		}
	}

	private record Change(MonotonicTime visibleAt, VmId vm, EntryChange change) {
	}

	/**
	 * Changes an entry of the list.
	 */
	@FunctionalInterface
	private interface EntryChange {

		Optional<VmEntry> apply(VmEntry old);

	}

}
