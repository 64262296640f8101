package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Mixes changes of the configuration, cancellations of all kinds of jobs, changes of the
 * leader and lost VMs. Any exception would end the process of the leader.
 */
class SeededConfigurationTests {

	private static final int QUEUES = 4;

	private static final int WORKERS = 5;

	private static final int ROUNDS = 80;

	private static final long[] ODD_NUMBERS = { 0, -1, 1, Integer.MAX_VALUE, Integer.MIN_VALUE, Long.MAX_VALUE,
			Long.MIN_VALUE };

	private static final double[] ODD_FACTORS = { 0, -1, Double.MAX_VALUE, Double.MIN_VALUE, 1e18, Double.NaN };

	private static final int[] ROUND_MILLIS = { 0, 1, 3, 20, 150, 400, 2500 };

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16 })
	void noChangeOfTheConfigurationOrCancellationThrows(long seed) {
		assertThatCode(() -> play(seed)).doesNotThrowAnyException();
	}

	static void play(long seed) {
		VirtualWorld world = new VirtualWorld(seed);
		Random random = new Random(-seed);
		world.features = (random.nextInt(4) > 0) ? EnumSet.allOf(SchedulerFeature.class) : Set.of();
		world.keepsIds = random.nextBoolean();
		world.unanswered = 0.3 * random.nextDouble();
		world.delayed = random.nextDouble();
		world.tailModel = (worker, task) -> 400 * random.nextDouble();
		for (int i = 0; i < WORKERS; i++) {
			world.addWorker("w" + i);
		}
		world.takeOver();
		List<JobSubmission> jobs = new ArrayList<>();
		for (int round = 0; round < ROUNDS; round++) {
			for (int i = random.nextInt(4); i > 0; i--) {
				submit(world, random, jobs, "job-" + round + "-" + i);
			}
			for (int i = random.nextInt(3); i > 0; i--) {
				disturb(world, random, jobs);
			}
			world.clock.runFor(ROUND_MILLIS[random.nextInt(ROUND_MILLIS.length)]);
		}
	}

	private static void submit(VirtualWorld world, Random random, List<JobSubmission> jobs, String id) {
		List<StepSpec> steps = new ArrayList<>();
		for (int step = 0; step <= random.nextInt(3); step++) {
			steps.add(step(random, step));
		}
		String queue = "q" + random.nextInt(QUEUES);
		JobSubmission job;
		if (random.nextInt(5) == 0) {
			job = world.submitRepeating(id,
					new JobSubmission.Schedule(1 + random.nextInt(5),
							random.nextBoolean() ? 0 : world.clock.now() + 500, random.nextInt(1500)),
					steps.toArray(StepSpec[]::new));
		}
		else {
			job = world.submitTo(queue, id, policy(random), steps.toArray(StepSpec[]::new));
		}
		jobs.add(job);
		for (int index = 0; random.nextInt(6) == 0 && index < 3; index++) {
			world.failRuns(job, 0, index, 30L, 10L, 700L);
		}
		if (random.nextInt(12) == 0) {
			world.deadly.put(new io.lentilstream.jobs.TaskName(job.id(), 0, 0, 0), 20L + random.nextInt(300));
		}
	}

	private static StepSpec step(Random random, int number) {
		List<Integer> after = new ArrayList<>();
		for (int earlier = 0; earlier < number; earlier++) {
			if (random.nextBoolean()) {
				after.add(earlier);
			}
		}
		boolean longRunning = random.nextInt(4) == 0;
		StepSpec.Traits traits = new StepSpec.Traits(random.nextBoolean(), random.nextInt(4) == 0,
				random.nextInt(3) == 0, longRunning, random.nextInt(4) == 0);
		StepSpec.Placement placement = new StepSpec.Placement((random.nextInt(6) == 0) ? "k" : "",
				(random.nextInt(4) == 0) ? "r1-" + random.nextInt(2) : "", random.nextInt(4) == 0, random.nextInt(3));
		return new StepSpec(1 + random.nextInt(6), new Resources(random.nextInt(4) * 1000, random.nextInt(300), 0),
				random.nextInt(1200), after, traits, placement, "i" + random.nextInt(3),
				(longRunning && random.nextBoolean()) ? 100 : 0, random.nextInt(3) - 1);
	}

	private static QueuePolicy policy(Random random) {
		boolean odd = random.nextInt(4) == 0;
		double stretch = odd ? ODD_FACTORS[random.nextInt(ODD_FACTORS.length)] : 2;
		long objective = odd ? ODD_NUMBERS[random.nextInt(ODD_NUMBERS.length)] : 500;
		int priority = odd ? (int) ODD_NUMBERS[random.nextInt(ODD_NUMBERS.length)] : random.nextInt(3);
		int attempts = odd ? (int) ODD_NUMBERS[random.nextInt(ODD_NUMBERS.length)] : random.nextInt(4);
		ServiceName service = (random.nextInt(4) == 0) ? new ServiceName("other") : VirtualWorker.SERVICE;
		return new QueuePolicy(service, priority, attempts, stretch, objective);
	}

	private static void disturb(VirtualWorld world, Random random, List<JobSubmission> jobs) {
		VirtualWorker worker = List.copyOf(world.workers.values()).get(random.nextInt(world.workers.size()));
		switch (random.nextInt(16)) {
			case 0, 1, 2 -> configure(world, random);
			case 3, 4, 5 -> cancel(world, random, jobs);
			case 6 -> world.takeOver();
			case 7 -> worker.togglePartition();
			case 8 -> world.toggleStore();
			case 9 -> {
				if (worker.up) {
					worker.crash();
				}
				else {
					worker.restart();
					world.scheduler.workerListed(worker.listing());
				}
			}
			case 10 -> {
				if (worker.up) {
					world.crashAndReturn(worker, random.nextBoolean());
				}
			}
			case 11 -> {
				worker.listed = !worker.listed;
				if (worker.listed) {
					world.scheduler.workerListed(worker.listing());
				}
				else {
					world.scheduler.workerUnlisted(new WorkerId(worker.id), random.nextBoolean());
				}
			}
			case 12 -> {
				worker.draining = !worker.draining;
				worker.rack = "r1-" + random.nextInt(3);
				worker.changeCapacity(new Resources(random.nextInt(10) * 1000, 16_000, 0));
				world.scheduler.workerListed(worker.listing());
			}
			case 13 -> world.scheduler
				.updateEvacuations(random.nextBoolean() ? Set.of(new AvailabilityZoneId("a")) : Set.of());
			case 14 -> removeEnded(world, random);
			default -> {
				worker.hanging = !worker.hanging;
				worker.stopMillis = random.nextInt(3) * 400L;
				if (random.nextInt(6) == 0) {
					world.scheduler.holdOnly();
				}
			}
		}
	}

	private static void configure(VirtualWorld world, Random random) {
		Map<String, QueuePolicy> policies = new HashMap<>();
		for (int queue = 0; queue < QUEUES; queue++) {
			if (random.nextInt(4) > 0) {
				policies.put("q" + queue, policy(random));
			}
		}
		world.scheduler.updatePolicies(policies);
	}

	private static void cancel(VirtualWorld world, Random random, List<JobSubmission> jobs) {
		for (int i = random.nextInt(6); i > 0 && !jobs.isEmpty(); i--) {
			JobId job = jobs.get(random.nextInt(jobs.size())).id();
			world.cancel(job);
			world.scheduler.stopGuaranteed(job);
			world.scheduler.state(job);
		}
		world.cancel(new JobId("unknown-" + random.nextInt(5)));
	}

	private static void removeEnded(VirtualWorld world, Random random) {
		List<JobId> ended = world.scheduler.endedBefore(world.clock.now() - random.nextInt(3000), Integer.MAX_VALUE);
		ended.forEach(world.scheduler::remove);
	}

}
