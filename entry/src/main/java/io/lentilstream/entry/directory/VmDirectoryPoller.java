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
 * A poller that reads the VM list of each zone and passes it to a listener. If a read
 * fails, the last list stays in use.
 */
public final class VmDirectoryPoller implements AutoCloseable {

	private final VmDirectory directory;

	private final Supplier<List<AvailabilityZoneId>> zones;

	private final BiConsumer<AvailabilityZoneId, List<VmEntry>> listener;

	private final Consumer<Throwable> fatalErrorHandler;

	private ScheduledFuture<?> pollTask;

	private volatile boolean closed;

	/**
	 * Creates a poller.
	 * @param directory the client of the VM directory
	 * @param zones supplies the zones to poll
	 * @param listener receives each list that was read
	 * @param fatalErrorHandler handles an exception thrown by the listener; it must stop
	 * the process
	 */
	public VmDirectoryPoller(VmDirectory directory, Supplier<List<AvailabilityZoneId>> zones,
			BiConsumer<AvailabilityZoneId, List<VmEntry>> listener, Consumer<Throwable> fatalErrorHandler) {
		this.directory = directory;
		this.zones = zones;
		this.listener = listener;
		this.fatalErrorHandler = fatalErrorHandler;
	}

	/**
	 * Starts polling.
	 * @param timers schedules the polls
	 * @param intervalMillis the poll interval, in milliseconds
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

	// The future would swallow the exception.
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
