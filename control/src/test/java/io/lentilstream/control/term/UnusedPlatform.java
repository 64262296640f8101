package io.lentilstream.control.term;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;

import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;

/**
 * A platform without VMs.
 */
public final class UnusedPlatform implements WorkerPlatform {

	@Override
	public CommandClient commandClient(ToLongFunction<WorkerId> fencingTokens) {
		return new Unreachable();
	}

	@Override
	public String workerListPrefix() {
		return "servers/";
	}

	@Override
	public Optional<WorkerListing> decode(StoredItem item) {
		return Optional.empty();
	}

	@Override
	public String workerIdOf(String key) {
		return key;
	}

	/**
	 * A client that is never called.
	 */
	private static final class Unreachable implements WorkerPlatform.CommandClient {

		@Override
		public void start(WorkerListing worker, StartCommand command, Consumer<CommandResult> callback) {
			throw new IllegalStateException("there are no VMs");
		}

		@Override
		public void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> callback) {
			throw new IllegalStateException("there are no VMs");
		}

		@Override
		public void setSpeed(WorkerListing worker, TaskName task, int run, int percent,
				Consumer<CommandResult> callback) {
			throw new IllegalStateException("there are no VMs");
		}

		@Override
		public void requestReport(WorkerListing worker, ReportRequest request, Consumer<ReportResult> callback) {
			throw new IllegalStateException("there are no VMs");
		}

		@Override
		public void close() {
			// There are no connections.
		}

	}

}
