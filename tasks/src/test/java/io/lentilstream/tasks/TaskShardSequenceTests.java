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
 * Tests with random event sequences that no task runs in two places, no VM exceeds its
 * capacity, no work is resumed twice or from an outdated checkpoint, and no job is lost.
 * Events include crashes, pauses, lost replies, expired leases, takeovers, failing
 * workers, and reports of any usage and slowdown.
 */
class TaskShardSequenceTests {

	private static final Duration[] TIME_STEPS = { Duration.ofMillis(100), Duration.ofSeconds(1), Duration.ofSeconds(6),
			Duration.ofSeconds(20) };

	/** Usages from none to several times the declared size of any task of the test. */
	private static final Resources[] USAGES = { Resources.NONE, new Resources(100, 100, 0),
			new Resources(2000, 1024, 0), new Resources(9000, 1500, 0), new Resources(20_000, 9000, 0) };

	private static final double[] SLOWDOWNS = { 0, 1, 1.5, 4, Double.NaN, Double.POSITIVE_INFINITY };

	@Property(tries = 300, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
	void keepsItsGuaranteesUnderFaultsInAnyOrder(
			@ForAll @Size(min = 50, max = 500) List<@IntRange(min = 0, max = 999_999) Integer> events) {
		ShardSimulation simulation = new ShardSimulation(4, TestSettings.shortGrace());
		int jobs = 0;
		for (int event : events) {
			int choice = event / 46;
			switch (event % 46) {
				case 0, 1, 2 -> simulation.submit(ShardSimulation.job("job-" + jobs++, Urgency.values()[choice % 3],
						1 + choice % 5, 1 + choice % 4));
				case 3 -> simulation.cancel("job-" + choice % (jobs + 1));
				case 4, 5, 6, 7, 8, 9, 10, 11 -> commit(simulation, choice);
				case 12, 13, 14, 15, 16, 17, 18, 19, 20 -> deliver(simulation, choice);
				case 21, 22, 23, 24, 25, 26, 27 -> deliverOutcome(simulation, choice);
				case 28, 29 -> simulation.advance(TIME_STEPS[choice % TIME_STEPS.length]);
				case 30 -> worker(simulation, choice).setReachable(choice % 3 != 0);
				case 31 -> worker(simulation, choice).attempts.clear();
				case 32, 33 -> finishOne(simulation, choice);
				case 34 -> takeOver(simulation, choice);
				case 35 -> simulation.takeSnapshot();
				case 36 -> toggleLeaving(simulation, choice);
				case 37 -> worker(simulation, choice).setRefusesStarts(choice % 4 == 0);
				case 38 -> toggleFailure(simulation, choice, "*");
				case 39 -> toggleFailure(simulation, choice, ShardSimulation.PROGRAM);
				case 40, 41, 42 -> measure(simulation, choice);
				case 43, 44 -> simulation.deliverReports(worker(simulation, choice));
				default -> simulation.renewEntryLease();
			}
		}
		simulation.check();
		checkThatAllJobsEnd(simulation);
	}

	private static void checkThatAllJobsEnd(ShardSimulation simulation) {
		simulation.leavingVms.clear();
		for (FakeWorker worker : simulation.workers.values()) {
			worker.reachable = true;
			worker.refusesStarts = false;
			worker.failures.clear();
			worker.attempts.values().forEach((attempt) -> attempt.measure(Resources.NONE, 1));
		}
		simulation.previousOwners.clear();
		simulation.updateWorkers();
		for (int round = 0; round < 40 && !allEnded(simulation); round++) {
			simulation.run(5);
			simulation.finishAll();
		}
		assertThat(simulation.owner.shard.jobs()
			.stream()
			.filter((job) -> !job.ended())
			.map(Object::toString)
			.collect(Collectors.joining("\n"))).isEmpty();
	}

	private static boolean allEnded(ShardSimulation simulation) {
		return simulation.owner.shard.jobs().stream().allMatch(JobView::ended);
	}

	private static FakeOwner owner(ShardSimulation simulation, int choice) {
		return (simulation.previousOwners.isEmpty() || choice % 4 != 0) ? simulation.owner
				: simulation.previousOwners.get(choice % simulation.previousOwners.size());
	}

	private static void submit(ShardSimulation simulation, int number, int choice) {
		Urgency urgency = Urgency.values()[choice % 3];
		simulation.submit(ShardSimulation.job("job-" + number, urgency, 1 + choice % 5, 1 + choice % 4));
	}

	private static FakeWorker worker(ShardSimulation simulation, int choice) {
		return simulation.workers.get("vm-" + choice % simulation.workers.size());
	}

	private static void commit(ShardSimulation simulation, int choice) {
		if (choice % 50 != 0 || simulation.owner.uncommitted.isEmpty()) {
			simulation.commit(owner(simulation, choice), true);
			return;
		}
		// The owner crashes after the append is durable and before it is acknowledged.
		simulation.commit(simulation.owner, false);
		simulation.advance(ShardSimulation.ENTRY_LEASE.plusMillis(1));
		simulation.takeOver(false, true);
	}

	private static void deliver(ShardSimulation simulation, int choice) {
		FakeOwner owner = owner(simulation, choice);
		if (!owner.outbox.isEmpty()) {
			simulation.deliverCommand(owner, choice % owner.outbox.size(), choice % 7 != 0);
		}
	}

	private static void deliverOutcome(ShardSimulation simulation, int choice) {
		FakeOwner owner = owner(simulation, choice);
		if (!owner.inbox.isEmpty()) {
			simulation.deliverOutcome(owner, choice % owner.inbox.size());
		}
	}

	private static void finishOne(ShardSimulation simulation, int choice) {
		FakeWorker worker = worker(simulation, choice);
		List<TaskId> running = worker.running();
		if (!running.isEmpty()) {
			worker.finish(running.get(choice % running.size()));
		}
	}

	private static void takeOver(ShardSimulation simulation, int choice) {
		boolean released = choice % 4 == 0;
		if (!released && simulation.now.isBefore(simulation.owner.commitDeadline)) {
			simulation.advance(ShardSimulation.ENTRY_LEASE.plusMillis(1));
		}
		simulation.takeOver(released, !released && choice % 3 == 0);
	}

	private static void toggleLeaving(ShardSimulation simulation, int choice) {
		String vm = worker(simulation, choice).vm.value();
		if (!simulation.leavingVms.remove(vm)) {
			simulation.leavingVms.add(vm);
		}
		simulation.updateWorkers();
	}

	private static void toggleFailure(ShardSimulation simulation, int choice, String program) {
		FakeWorker worker = worker(simulation, choice);
		if (worker.failures.remove(program) == null) {
			worker.failures.put(program, "disk");
		}
	}

	private static void measure(ShardSimulation simulation, int choice) {
		FakeWorker worker = worker(simulation, choice);
		List<TaskId> running = worker.running();
		if (!running.isEmpty()) {
			FakeWorker.Attempt attempt = worker.attempts.get(running.get(choice % running.size()));
			attempt.measure(USAGES[choice / 4 % USAGES.length], SLOWDOWNS[choice / 16 % SLOWDOWNS.length]);
		}
	}

}
