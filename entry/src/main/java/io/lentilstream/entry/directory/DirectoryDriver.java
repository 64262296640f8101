package io.lentilstream.entry.directory;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.lentilstream.clients.VmDirectory;
import io.lentilstream.clients.VmEntry;
import io.lentilstream.model.AvailabilityZoneId;

/**
 * Reads the list of VMs of each zone in turn and passes it on. An answer that does not
 * come leaves the last list in use.
 */
public final class DirectoryDriver implements AutoCloseable {

	private final VmDirectory directory;

	private final Supplier<List<AvailabilityZoneId>> zones;

	private final BiConsumer<AvailabilityZoneId, List<VmEntry>> listed;

	private final Consumer<Throwable> brokenInvariant;

	private ScheduledFuture<?> polls;

	private volatile boolean closed;

	/**
	 * Creates a driver.
	 * @param directory reads the list
	 * @param zones the zones to read
	 * @param listed is told each list
	 * @param brokenInvariant is told an exception that must stop the process
	 */
	public DirectoryDriver(VmDirectory directory, Supplier<List<AvailabilityZoneId>> zones,
			BiConsumer<AvailabilityZoneId, List<VmEntry>> listed, Consumer<Throwable> brokenInvariant) {
		this.directory = directory;
		this.zones = zones;
		this.listed = listed;
		this.brokenInvariant = brokenInvariant;
	}

	/**
	 * Starts to read the list.
	 * @param timers schedules the reads
	 * @param intervalMillis milliseconds between two reads
	 */
	public void start(ScheduledExecutorService timers, long intervalMillis) {
		this.polls = timers.scheduleAtFixedRate(this::poll, 0, intervalMillis, TimeUnit.MILLISECONDS);
	}

	private void poll() {
		for (AvailabilityZoneId zone : this.zones.get()) {
			this.directory.list(zone).thenAccept((entries) -> {
				if (!this.closed && entries.isPresent()) {
					pass(zone, entries.get());
				}
			});
		}
	}

	// A future would swallow the exception of a broken invariant.
	private void pass(AvailabilityZoneId zone, List<VmEntry> entries) {
		try {
			this.listed.accept(zone, entries);
		}
		catch (RuntimeException ex) {
			this.brokenInvariant.accept(ex);
		}
	}

	@Override
	public void close() {
		this.closed = true;
		if (this.polls != null) {
			this.polls.cancel(false);
		}
	}

}
