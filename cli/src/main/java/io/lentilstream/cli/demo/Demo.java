package io.lentilstream.cli.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.VmId;
import io.lentilstream.standin.EndpointFault;
import io.lentilstream.standin.EndpointRecord;
import io.lentilstream.standin.OutageMode;
import io.lentilstream.standin.StandinRecords;
import io.lentilstream.standin.TaskRun;

/**
 * The scenario of the demonstration. It generates three kinds of load (urgent requests,
 * payments and batch jobs) and injects faulty endpoint responses, a killed entry daemon,
 * a crashed worker, a store outage, concurrent settings changes, a leaving endpoint and a
 * graceful shutdown.
 */
public final class Demo {

	private static final long READY_TIMEOUT_MILLIS = 10_000;

	/**
	 * Time within which accepted work completes after the load has ended: a takeover
	 * after the kill and one after the drain, the end of the crashed worker's leases, and
	 * the job's tasks at the rate of the smallest shard.
	 */
	private static final Duration COMPLETION_TIMEOUT = DemoCluster.TAKEOVER_LIMIT.multipliedBy(2)
		.plus(DemoCluster.TASK_LEASE_LIMIT)
		.plus(DemoJobs.runTimeLimit());

	/**
	 * Time within which a graceful shutdown ends: the time until the load balancer has
	 * removed the entry VM, a request that was accepted last, and a takeover.
	 */
	private static final Duration DRAIN_TIMEOUT = Duration.ofMillis(1_000 + DemoClient.CALL_TIMEOUT_MILLIS)
		.plus(DemoCluster.TAKEOVER_LIMIT);

	private static final long POLL_INTERVAL_MILLIS = 20;

	private static final long MAX_WORK_AFTER_LEAVING_MILLIS = 3_000;

	private static final int ENDPOINTS_WITH_FAULTS = 2;

	private static final int REQUESTS_PER_SECOND = 200;

	private static final int REQUESTS_DURING_DRAIN = 100;

	private static final int SHORT_TIMEOUT_REQUESTS = 300;

	private static final long SHORT_TIMEOUT_MILLIS = 12;

	private final PrintStream out;

	private final PropertyChecks checks = new PropertyChecks();

	private final long startNanos = System.nanoTime();

	/**
	 * Creates a demonstration.
	 * @param out the stream for progress and the report
	 */
	public Demo(PrintStream out) {
		this.out = out;
	}

	/**
	 * Runs the demonstration.
	 * @return whether each of the nine properties was checked and never violated, and no
	 * daemon reported an invariant violation
	 * @throws IOException if no port is free
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean run() throws IOException, InterruptedException {
		try (DemoCluster cluster = new DemoCluster(); DemoClient client = new DemoClient()) {
			progress("started the stand-in platform and %d entry daemons in 2 zones", cluster.members().size());
			awaitReady(cluster);
			DemoOperator operator = new DemoOperator(cluster, client, this.checks);
			createTeam(operator);
			DemoUrgentLoad urgent = new DemoUrgentLoad(cluster, client, this.checks);
			DemoPayments payments = new DemoPayments(cluster::nextBaseUrl, client, this.checks);
			DemoJobs jobs = new DemoJobs(cluster::nextBaseUrl, client);
			Thread.sleep(500);
			urgent.start(REQUESTS_PER_SECOND);
			payments.start();
			jobs.submit("ledgers", "batch", DemoJobs.LEDGER_TASKS, "sleep:" + DemoJobs.LEDGER_TASK_MILLIS + "ms", 2);
			progress("sends urgent requests, payments and batch jobs");
			injectFaults(cluster, operator, urgent, jobs);
			urgent.stop();
			payments.stop();
			long deadlineNanos = System.nanoTime() + COMPLETION_TIMEOUT.toNanos();
			payments.collectAll(deadlineNanos);
			List<String> unfinishedJobs = jobs.awaitCompletion(deadlineNanos);
			progress("collected answers and jobs");
			checkRecords(cluster, urgent, payments, unfinishedJobs);
			new DemoReport(this.out, this.checks).print(cluster, urgent, payments);
			return this.checks.all().stream().allMatch(PropertyCheck::holds) && cluster.brokenInvariants().isEmpty();
		}
	}

	private void awaitReady(DemoCluster cluster) throws InterruptedException {
		for (long i = 0; i < READY_TIMEOUT_MILLIS / 50 && !cluster.isReady(); i++) {
			Thread.sleep(50);
		}
		progress("entry daemons are ready");
	}

	private void createTeam(DemoOperator operator) throws InterruptedException {
		Map<String, String> platform = new LinkedHashMap<>();
		DemoOperator.platformPaths().forEach((path) -> platform.put(path, DemoNames.REGION));
		applySettings(operator, platform);
		String root = "/teams/" + DemoNames.TEAM;
		Map<String, String> team = new LinkedHashMap<>();
		String service = root + "/services/" + DemoNames.SERVICE;
		team.put(service + "/urgency", "urgent");
		team.put(service + "/expected-time", "10ms");
		team.put(service + "/timeout", "500ms");
		team.put(service + "/spill", "true");
		String payment = root + "/kinds/" + DemoNames.PAYMENT;
		team.put(payment + "/class", "deferrable");
		team.put(payment + "/service", DemoNames.SERVICE.value());
		team.put(root + "/kinds/" + DemoNames.LEDGER + "/class", "batch");
		applySettings(operator, team);
		progress("created a team with an urgent service, a payment kind and a batch kind");
	}

	private void applySettings(DemoOperator operator, Map<String, String> edits) throws InterruptedException {
		DemoResponse response = operator.changeSettings(edits);
		if (!response.isOk()) {
			throw new IllegalStateException("the operator's change was not accepted: " + new String(response.body()));
		}
		operator.awaitInForce(response.json().path("document").asText(), response.json().path("revision").asLong());
	}

	private void injectFaults(DemoCluster cluster, DemoOperator operator, DemoUrgentLoad urgent, DemoJobs jobs)
			throws InterruptedException {
		Thread.sleep(800);
		endpointFaults(cluster, 0, 0).next(EndpointFault.ANSWERS_OTHER_REQUEST, 5);
		endpointFaults(cluster, 1, 0).next(EndpointFault.CLOSES_IN_BODY, 5);
		endpointFaults(cluster, 0, 1).next(EndpointFault.CLOSES_ON_ARRIVAL, 5);
		endpointFaults(cluster, 1, 1).next(EndpointFault.ANSWERS_TWICE, 5);
		progress("endpoints cross, truncate, double and drop answers");
		Thread.sleep(500);
		Optional<VmId> busyWorker = awaitBusyWorker(cluster);
		this.checks.resumeOnce.check(busyWorker.isPresent(), "no worker ran a task, so none was crashed");
		cluster.members().get(1).kill();
		progress("killed %s", cluster.members().get(1).vm());
		busyWorker.ifPresent((vm) -> {
			cluster.platform().faults().worker(vm).crash();
			progress("crashed %s, which ran tasks", vm);
		});
		Thread.sleep(4_000);
		cluster.platform().faults().store().startOutage(OutageMode.CLOSES);
		progress("store outage begins");
		Thread.sleep(1_200);
		urgent.sendBurstWithTimeout(SHORT_TIMEOUT_REQUESTS, SHORT_TIMEOUT_MILLIS);
		Thread.sleep(800);
		cluster.platform().faults().store().endOutage();
		progress("store outage ends");
		Thread.sleep(1_500);
		String path = "/teams/" + DemoNames.TEAM + "/services/" + DemoNames.SERVICE + "/timeout";
		long revision = cluster.members().get(0).daemon().revisionInForce("/teams/" + DemoNames.TEAM);
		int acceptedChanges = operator.raceChanges(path, revision);
		operator.awaitInForce("/teams/" + DemoNames.TEAM, revision + acceptedChanges);
		progress("two operators raced, %d won", acceptedChanges);
		leaveEndpointInUse(cluster);
		jobs.submit("proofs", "urgent", 6, "sleep:300ms", 2);
		progress("urgent tasks submitted");
		Thread.sleep(1_500);
		DemoCluster.Member leaving = cluster.members().get(2);
		CompletableFuture<Void> burst = urgent.sendBurst(leaving, REQUESTS_DURING_DRAIN);
		CompletableFuture<Void> drained = leaving.drain();
		progress("%s drains with %d requests in flight", leaving.vm(), REQUESTS_DURING_DRAIN);
		Thread.sleep(2_000);
		this.checks.gracefulStop.check(await(DRAIN_TIMEOUT, burst::isDone),
				"requests in flight at the drain have no answer");
		this.checks.gracefulStop.check(await(DRAIN_TIMEOUT, drained::isDone), "the drain did not end");
	}

	private static Optional<VmId> awaitBusyWorker(DemoCluster cluster) throws InterruptedException {
		await(DemoCluster.TAKEOVER_LIMIT, () -> findBusyWorker(cluster).isPresent());
		return findBusyWorker(cluster);
	}

	private static Optional<VmId> findBusyWorker(DemoCluster cluster) {
		return cluster.platform()
			.records()
			.taskRuns()
			.values()
			.stream()
			.map((runs) -> runs.get(runs.size() - 1))
			.filter((run) -> run.until().isEmpty())
			.map(TaskRun::vm)
			.findFirst();
	}

	// An endpoint proves that it gets no more work only if it was in use until then, and
	// still got work before the list of VMs showed it as leaving.
	private void leaveEndpointInUse(DemoCluster cluster) throws InterruptedException {
		for (int index = ENDPOINTS_WITH_FAULTS; index < DemoCluster.ENDPOINTS_PER_ZONE; index++) {
			for (int zone = 0; zone < DemoNames.ZONES.size(); zone++) {
				EndpointId endpoint = new EndpointId(DemoNames.ZONES.get(zone) + "-endpoint-" + index);
				long before = recordOf(cluster, endpoint).runs();
				if (!await(DemoCluster.LIST_LAG, () -> recordOf(cluster, endpoint).runs() > before)) {
					continue;
				}
				endpointFaults(cluster, zone, index).leave(false);
				if (await(DemoCluster.LIST_LAG, () -> recordOf(cluster, endpoint).lastWorkAfterLeaving().isPresent())) {
					progress("%s leaves", endpoint);
					return;
				}
			}
		}
		progress("no endpoint was in use when it left");
	}

	private static EndpointRecord recordOf(DemoCluster cluster, EndpointId endpoint) {
		return cluster.platform().records().endpoints().get(endpoint);
	}

	private static boolean await(Duration timeout, BooleanSupplier condition) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + timeout.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() >= deadlineNanos) {
				return false;
			}
			Thread.sleep(POLL_INTERVAL_MILLIS);
		}
		return true;
	}

	private io.lentilstream.standin.EndpointFaults endpointFaults(DemoCluster cluster, int zone, int index) {
		return cluster.platform().faults().endpoint(new EndpointId(DemoNames.ZONES.get(zone) + "-endpoint-" + index));
	}

	private void checkRecords(DemoCluster cluster, DemoUrgentLoad urgent, DemoPayments payments,
			List<String> unfinishedJobs) {
		StandinRecords records = cluster.platform().records();
		payments.checkRuns(records.keyRuns());
		for (String key : urgent.refusedKeys()) {
			int runs = records.keyRuns().getOrDefault(key, 0);
			this.checks.trueNotRun.check(runs == 0, key + " was refused as not run and ran " + runs + " times");
		}
		records.workers()
			.forEach((vm, record) -> this.checks.vmCapacity.check(!record.overCapacity(),
					vm + " reached " + record.highest()));
		records.taskRuns().forEach((task, runs) -> checkTaskRuns(task.value(), runs));
		this.checks.resumeOnce.check(unfinishedJobs.isEmpty(), "jobs did not end: " + unfinishedJobs);
		records.endpoints()
			.forEach((endpoint, record) -> record.lastWorkAfterLeaving()
				.ifPresent((last) -> this.checks.leavingEndpoint.check(last.toMillis() <= MAX_WORK_AFTER_LEAVING_MILLIS,
						endpoint + " got work " + last.toMillis() + " ms after it was leaving")));
		long brokenConnections = urgent.outcomes().containsKey("broken connection")
				? urgent.outcomes().get("broken connection").get() : 0;
		this.out.println("  requests on connections of the killed daemon: " + brokenConnections);
	}

	private void checkTaskRuns(String task, List<TaskRun> runs) {
		boolean overlapping = false;
		for (int i = 0; i < runs.size(); i++) {
			for (int j = i + 1; j < runs.size(); j++) {
				overlapping |= runs.get(i).overlaps(runs.get(j));
			}
		}
		this.checks.singlePlacement.check(!overlapping, task + " ran in two places: " + runs);
		long done = runs.stream().filter((run) -> run.end() == TaskReport.State.DONE).count();
		if (runs.size() > 1) {
			Duration reached = runs.get(0).reached();
			Duration resumed = runs.get(1).resumedFrom();
			this.checks.resumeOnce.check(done == 1 && resumed.compareTo(reached) <= 0,
					task + " ended " + done + " times: " + runs);
		}
		else {
			this.checks.singlePlacement.check(done == 1, task + " ended " + done + " times");
		}
	}

	private void progress(String text, Object... arguments) {
		double seconds = (System.nanoTime() - this.startNanos) / 1e9;
		this.out.printf("%5.1f s  %s%n", seconds, text.formatted(arguments));
	}

}
