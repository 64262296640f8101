package io.lentilstream.tasks;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import io.lentilstream.model.Resources;
import io.lentilstream.model.TaskId;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a task in two places, a VM over its capacity, work resumed twice or from
 * an old checkpoint, and lost jobs, under deaths, pauses, lost replies, lapsed leases,
 * takeovers, failing workers, and reports of any use and slowdown in any order.
 */
class TaskShardSequenceTests {

	private static final Duration[] TIMES = { Duration.ofMillis(100), Duration.ofSeconds(1), Duration.ofSeconds(6),
			Duration.ofSeconds(20) };

	/** Uses from none to several times the declared size of any task of the test. */
	private static final Resources[] USES = { Resources.NONE, new Resources(100, 100, 0), new Resources(2000, 1024, 0),
			new Resources(9000, 1500, 0), new Resources(20_000, 9000, 0) };

	private static final double[] SLOWDOWNS = { 0, 1, 1.5, 4, Double.NaN, Double.POSITIVE_INFINITY };

	@Property(tries = 300, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
	void keepsItsGuaranteesUnderFaultsInAnyOrder(
			@ForAll @Size(min = 50, max = 500) List<@IntRange(min = 0, max = 999_999) Integer> script) {
		ShardWorld world = new ShardWorld(4, TestSettings.shortGrace());
		int jobs = 0;
		for (int event : script) {
			int choice = event / 46;
			switch (event % 46) {
				case 0, 1, 2 -> world.submit(
						ShardWorld.job("job-" + jobs++, Urgency.values()[choice % 3], 1 + choice % 5, 1 + choice % 4));
				case 3 -> world.cancel("job-" + choice % (jobs + 1));
				case 4, 5, 6, 7, 8, 9, 10, 11 -> commit(world, choice);
				case 12, 13, 14, 15, 16, 17, 18, 19, 20 -> deliver(world, choice);
				case 21, 22, 23, 24, 25, 26, 27 -> answer(world, choice);
				case 28, 29 -> world.advance(TIMES[choice % TIMES.length]);
				case 30 -> worker(world, choice).setReachable(choice % 3 != 0);
				case 31 -> worker(world, choice).runs.clear();
				case 32, 33 -> finishOne(world, choice);
				case 34 -> takeOver(world, choice);
				case 35 -> world.takeSnapshot();
				case 36 -> toggleLeaving(world, choice);
				case 37 -> worker(world, choice).setRefusesStarts(choice % 4 == 0);
				case 38 -> toggleFailure(world, choice, "*");
				case 39 -> toggleFailure(world, choice, ShardWorld.PROGRAM);
				case 40, 41, 42 -> measure(world, choice);
				case 43, 44 -> world.report(worker(world, choice));
				default -> world.renewEntryLease();
			}
		}
		world.check();
		endsEveryAcceptedJob(world);
	}

	private static void endsEveryAcceptedJob(ShardWorld world) {
		world.leaving.clear();
		for (FakeWorker worker : world.workers.values()) {
			worker.reachable = true;
			worker.refusesStarts = false;
			worker.failures.clear();
			worker.runs.values().forEach((run) -> run.measure(Resources.NONE, 1));
		}
		world.earlier.clear();
		world.list();
		for (int round = 0; round < 40 && !allEnded(world); round++) {
			world.run(5);
			world.finishAll();
		}
		assertThat(world.owner.shard.jobs()
			.stream()
			.filter((job) -> !job.ended())
			.map(Object::toString)
			.collect(Collectors.joining("\n"))).isEmpty();
	}

	private static boolean allEnded(ShardWorld world) {
		return world.owner.shard.jobs().stream().allMatch(JobView::ended);
	}

	private static FakeOwner owner(ShardWorld world, int choice) {
		return (world.earlier.isEmpty() || choice % 4 != 0) ? world.owner
				: world.earlier.get(choice % world.earlier.size());
	}

	private static void submit(ShardWorld world, int number, int choice) {
		Urgency urgency = Urgency.values()[choice % 3];
		world.submit(ShardWorld.job("job-" + number, urgency, 1 + choice % 5, 1 + choice % 4));
	}

	private static FakeWorker worker(ShardWorld world, int choice) {
		return world.workers.get("vm-" + choice % world.workers.size());
	}

	private static void commit(ShardWorld world, int choice) {
		if (choice % 50 != 0 || world.owner.uncommitted.isEmpty()) {
			world.commit(owner(world, choice), true);
			return;
		}
		// The owner dies after the write took effect and before it learns of it.
		world.commit(world.owner, false);
		world.advance(ShardWorld.ENTRY_LEASE.plusMillis(1));
		world.takeOver(false, true);
	}

	private static void deliver(ShardWorld world, int choice) {
		FakeOwner owner = owner(world, choice);
		if (!owner.outbox.isEmpty()) {
			world.deliver(owner, choice % owner.outbox.size(), choice % 7 != 0);
		}
	}

	private static void answer(ShardWorld world, int choice) {
		FakeOwner owner = owner(world, choice);
		if (!owner.inbox.isEmpty()) {
			world.answer(owner, choice % owner.inbox.size());
		}
	}

	private static void finishOne(ShardWorld world, int choice) {
		FakeWorker worker = worker(world, choice);
		List<TaskId> running = worker.running();
		if (!running.isEmpty()) {
			worker.finish(running.get(choice % running.size()));
		}
	}

	private static void takeOver(ShardWorld world, int choice) {
		boolean released = choice % 4 == 0;
		if (!released && world.now.isBefore(world.owner.commitDeadline)) {
			world.advance(ShardWorld.ENTRY_LEASE.plusMillis(1));
		}
		world.takeOver(released, !released && choice % 3 == 0);
	}

	private static void toggleLeaving(ShardWorld world, int choice) {
		String vm = worker(world, choice).vm.value();
		if (!world.leaving.remove(vm)) {
			world.leaving.add(vm);
		}
		world.list();
	}

	private static void toggleFailure(ShardWorld world, int choice, String program) {
		FakeWorker worker = worker(world, choice);
		if (worker.failures.remove(program) == null) {
			worker.failures.put(program, "disk");
		}
	}

	private static void measure(ShardWorld world, int choice) {
		FakeWorker worker = worker(world, choice);
		List<TaskId> running = worker.running();
		if (!running.isEmpty()) {
			FakeWorker.Run run = worker.runs.get(running.get(choice % running.size()));
			run.measure(USES[choice / 4 % USES.length], SLOWDOWNS[choice / 16 % SLOWDOWNS.length]);
		}
	}

}
