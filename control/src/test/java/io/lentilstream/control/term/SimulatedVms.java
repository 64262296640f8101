package io.lentilstream.control.term;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

import io.lentilstream.control.EventLoop;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.RunOutcome;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.TaskReport;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

/**
 * VMs that lose commands, answer oddly, fall silent and return. As with connections,
 * closing a client completes its commands in flight at once, and later ones too.
 */
final class SimulatedVms implements WorkerPlatform {

	private static final long TIMEOUT_MILLIS = 400;

	private static final RunOutcome[] OUTCOMES = RunOutcome.values();

	private static final CommandResult.Refusal[] REFUSALS = CommandResult.Refusal.values();

	/** One in so many refusals of this kind ends the term of a leader. */
	private static final int MOST_FENCED = 50;

	private final EventLoop loop;

	private final Random random;

	private final Map<String, Vm> vms = new LinkedHashMap<>();

	/** The share of commands that are refused for a random reason. */
	private double refused;

	SimulatedVms(EventLoop loop, Random random) {
		this.loop = loop;
		this.random = random;
	}

	void refuse(double share) {
		this.refused = share;
	}

	Vm vm(int number) {
		return this.vms.computeIfAbsent("vm-" + number, (id) -> new Vm(number));
	}

	@Override
	public CommandClient commandClient(ToLongFunction<WorkerId> fencingTokens) {
		return new Client(fencingTokens);
	}

	@Override
	public String workerListPrefix() {
		return "servers/";
	}

	@Override
	public Optional<WorkerListing> decode(StoredItem item) {
		String[] fields = new String(item.value(), StandardCharsets.US_ASCII).split(" ");
		if (fields.length < 5) {
			return Optional.empty();
		}
		return Optional.of(new WorkerListing(new WorkerId(workerIdOf(item.key())), Long.parseLong(fields[0]),
				new ServiceName(fields[1]), new InetSocketAddress("127.0.0.1", Integer.parseInt(fields[2])), "a",
				fields[3].equals("draining"), "r" + fields[2], new Resources(Integer.parseInt(fields[4]), 10_000, 0),
				Set.of("k")));
	}

	@Override
	public String workerIdOf(String key) {
		return key.substring(workerListPrefix().length());
	}

	/**
	 * A VM.
	 */
	final class Vm {

		final int number;

		private boolean silent;

		private long bornAt;

		private long token;

		private long lastEnd;

		private final Map<TaskName, Integer> running = new LinkedHashMap<>();

		private final List<TaskReport.Ended> ended = new ArrayList<>();

		Vm(int number) {
			this.number = number;
			this.bornAt = SimulatedVms.this.loop.now();
		}

		byte[] entry(String service, boolean draining, int milliCores) {
			return (this.bornAt + " " + service + " " + (1 + this.number) + " " + (draining ? "draining" : "ready")
					+ " " + milliCores)
				.getBytes(StandardCharsets.US_ASCII);
		}

		void toggleSilence() {
			this.silent = !this.silent;
		}

		void restart() {
			this.bornAt = SimulatedVms.this.loop.now();
			this.token = 0;
			this.lastEnd = 0;
			this.running.clear();
			this.ended.clear();
		}

		private void start(TaskName task, int run) {
			this.running.put(task, run);
			if (SimulatedVms.this.random.nextInt(4) > 0) {
				SimulatedVms.this.loop.schedule(SimulatedVms.this.random.nextInt(900),
						() -> end(task, run, OUTCOMES[SimulatedVms.this.random.nextInt(OUTCOMES.length)]));
			}
		}

		private void end(TaskName task, int run, RunOutcome outcome) {
			if (this.running.remove(task, run)) {
				this.ended.add(new TaskReport.Ended(++this.lastEnd, task, run, outcome, ""));
			}
		}

		private TaskReport report(long acknowledged) {
			this.ended.removeIf((end) -> end.number() <= acknowledged);
			List<TaskReport.Running> rows = new ArrayList<>();
			this.running.forEach((task, run) -> rows
				.add(new TaskReport.Running(task, run, "c", SimulatedVms.this.random.nextInt(101), 50)));
			return new TaskReport(this.bornAt, SimulatedVms.this.loop.now() - this.bornAt, rows,
					List.copyOf(this.ended), false);
		}

	}

	/**
	 * The client of one term.
	 */
	private final class Client implements CommandClient {

		private final ToLongFunction<WorkerId> fencingTokens;

		private final Map<Object, Runnable> inFlight = new LinkedHashMap<>();

		private boolean closed;

		Client(ToLongFunction<WorkerId> fencingTokens) {
			this.fencingTokens = fencingTokens;
		}

		@Override
		public void start(WorkerListing worker, StartCommand command, Consumer<CommandResult> callback) {
			send(worker, callback, new CommandResult.Unknown(), (vm) -> vm.start(command.task(), command.run()));
		}

		@Override
		public void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> callback) {
			send(worker, callback, new CommandResult.Unknown(), (vm) -> vm.end(task, run, RunOutcome.STOPPED));
		}

		@Override
		public void setSpeed(WorkerListing worker, TaskName task, int run, int percent,
				Consumer<CommandResult> callback) {
			send(worker, callback, new CommandResult.Unknown(), (vm) -> {
			});
		}

		@Override
		public void requestReport(WorkerListing worker, ReportRequest request, Consumer<ReportResult> callback) {
			Vm vm = SimulatedVms.this.vms.get(worker.id().value());
			long token = this.fencingTokens.applyAsLong(worker.id());
			deliver(vm, () -> {
				Optional<CommandResult> refusal = refusal(vm, token);
				callback.accept(refusal.<ReportResult>map(ReportResult.Missing::new)
					.orElseGet(() -> new ReportResult.Reported(vm.report(request.acknowledged()))));
			}, () -> callback.accept(new ReportResult.Missing(new CommandResult.Unknown())));
		}

		private void send(WorkerListing worker, Consumer<CommandResult> callback, CommandResult missing,
				Consumer<Vm> effect) {
			Vm vm = SimulatedVms.this.vms.get(worker.id().value());
			long token = this.fencingTokens.applyAsLong(worker.id());
			deliver(vm, () -> {
				Optional<CommandResult> refusal = refusal(vm, token);
				if (refusal.isEmpty()) {
					effect.accept(vm);
				}
				callback.accept(refusal.orElseGet(() -> new CommandResult.Done(SimulatedVms.this.loop.now())));
			}, () -> callback.accept(missing));
		}

		private Optional<CommandResult> refusal(Vm vm, long token) {
			if (token < vm.token) {
				return Optional.of(new CommandResult.Refused(CommandResult.Refusal.FENCED));
			}
			vm.token = token;
			if (SimulatedVms.this.random.nextDouble() < SimulatedVms.this.refused) {
				CommandResult.Refusal reason = REFUSALS[SimulatedVms.this.random.nextInt(REFUSALS.length)];
				if (reason == CommandResult.Refusal.FENCED && SimulatedVms.this.random.nextInt(MOST_FENCED) > 0) {
					return Optional.of(new CommandResult.Unknown());
				}
				return Optional.of(new CommandResult.Refused(reason));
			}
			return Optional.empty();
		}

		private void deliver(Vm vm, Runnable answer, Runnable lost) {
			if (this.closed) {
				lost.run();
				return;
			}
			Object call = new Object();
			this.inFlight.put(call, lost);
			Supplier<Boolean> returned = () -> this.inFlight.remove(call) != null;
			boolean reachable = vm != null && !vm.silent;
			SimulatedVms.this.loop.schedule(reachable ? 1 + SimulatedVms.this.random.nextInt(20) : TIMEOUT_MILLIS,
					() -> {
						if (returned.get()) {
							(reachable ? answer : lost).run();
						}
					});
		}

		@Override
		public void close() {
			this.closed = true;
			List<Runnable> failed = List.copyOf(this.inFlight.values());
			this.inFlight.clear();
			failed.forEach(Runnable::run);
		}

	}

}
