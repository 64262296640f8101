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
public final class VmDirectoryPoller implements AutoCloseable {

	private final VmDirectory directory;

	private final Supplier<List<AvailabilityZoneId>> zones;

	private final BiConsumer<AvailabilityZoneId, List<VmEntry>> listener;

	private final Consumer<Throwable> fatalErrorHandler;

	private ScheduledFuture<?> pollTask;

	private volatile boolean closed;

	/**
	 * Creates a driver.
	 * @param directory reads the list
	 * @param zones the zones to read
	 * @param listener is told each list
	 * @param fatalErrorHandler is told an exception that must stop the process
	 */
	public VmDirectoryPoller(VmDirectory directory, Supplier<List<AvailabilityZoneId>> zones,
			BiConsumer<AvailabilityZoneId, List<VmEntry>> listener, Consumer<Throwable> fatalErrorHandler) {
		this.directory = directory;
		this.zones = zones;
		this.listener = listener;
		this.fatalErrorHandler = fatalErrorHandler;
	}

	/**
	 * Starts to read the list.
	 * @param timers schedules the reads
	 * @param intervalMillis milliseconds between two reads
	 */
	public void start(ScheduledExecutorService timers, long intervalMillis) {
		this.pollTask = timers.scheduleAtFixedRate(this::poll, 0, intervalMillis, TimeUnit.MILLISECONDS);
	}

	private void poll() {
		for (AvailabilityZoneId zone : this.zones.get()) {
			this.directory.list(zone).thenAccept((entries) -> {
				if (!this.closed && entries.isPresent()) {
					notifyListener(zone, entries.get());
				}
			});
		}
	}

	// A future would swallow the exception of a broken invariant.
	private void notifyListener(AvailabilityZoneId zone, List<VmEntry> entries) {
		try {
			this.listener.accept(zone, entries);
		}
		catch (RuntimeException ex) {
			this.fatalErrorHandler.accept(ex);
		}
	}

	@Override
	public void close() {
		this.closed = true;
		if (this.pollTask != null) {
			this.pollTask.cancel(false);
		}
	}

}
