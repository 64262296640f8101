package review3;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.net.httpserver.HttpServer;

/**
 * A minion that runs tasks. Its address stays; each life has a new id. A task works for
 * the milliseconds that the spec of its job begins with.
 */
final class Minion {

	static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(2, (task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	static final long HEARTBEAT_MS = 1500;

	private static final long MAX_HOLD_MS = 6000;

	private static final long STOP_MS = 100;

	private static final long GANG_WAIT_MS = 3000;

	private static final long SAVE_MS = 500;

	private static final String START = "/lentilstream/run-start";

	/** How late an order is carried out that was left unanswered. */
	private static final long MIN_LATE_MS = 2000;

	private static final long MAX_LATE_MS = 12_000;

	/** How long a task that lasts takes until it is at work. */
	private static final long STARTUP_MS = 300;

	final InetSocketAddress address;

	final String rack;

	private final String name;

	private final World world;

	private final long cpu;

	private HttpServer server;

	/** The present life; {@code null} while the minion is down. */
	private Life life;

	private int lives;

	/** Until when the minion is cut off, as a time of {@link System#nanoTime}. */
	private volatile long cutUntil = System.nanoTime();

	private final AtomicInteger lateStarts = new AtomicInteger();

	Minion(World world, String name, String rack, long cpu) throws IOException {
		this.world = world;
		this.name = name;
		this.rack = rack;
		this.cpu = cpu;
		this.address = Http.freeAddress();
	}

	synchronized void start() throws IOException {
		begin(this.name + "-" + (++this.lives));
		this.world.store.put("servers/" + this.life.id, this.life.entry());
	}

	private void begin(String id) throws IOException {
		this.life = new Life(id);
		this.server = Http.serve(this.address, this.life::handle);
	}

	/**
	 * Crashes and starts again under the same id, cut off from all machines for a time. The
	 * platform removes the entry meanwhile if the silence is long enough.
	 */
	synchronized void rebornBehindCut(long downMillis, long cutMillis) {
		Life ended = this.life;
		this.life = null;
		ended.end();
		this.server.stop(0);
		this.cutUntil = System.nanoTime() + (downMillis + cutMillis) * 1_000_000;
		TIMER.schedule(() -> {
			try {
				synchronized (this) {
					begin(ended.id);
				}
				this.world.note("minion " + this.name + " is up again as " + ended.id + ", cut off");
			}
			catch (IOException ex) {
				this.world.note("minion " + this.name + " could not be started again: " + ex);
			}
		}, downMillis, TimeUnit.MILLISECONDS);
		TIMER.schedule(() -> this.world.store.remove("servers/" + ended.id),
				Math.min(3 * HEARTBEAT_MS, downMillis + cutMillis - 10), TimeUnit.MILLISECONDS);
		TIMER.schedule(() -> {
			this.world.note("minion " + this.name + " is no longer cut off");
			this.world.store.put("servers/" + ended.id, this.life.entry());
		}, downMillis + cutMillis, TimeUnit.MILLISECONDS);
	}

	/** Counts the starts that were left unanswered and are still to be carried out. */
	int lateStarts() {
		return this.lateStarts.get();
	}

	// What arrives late reaches whichever life has the id then.
	private void carryOutLate(Http.Call call) {
		this.lateStarts.addAndGet(call.path().equals(START) ? -1 : 0);
		Life present;
		synchronized (this) {
			present = this.life;
		}
		if (present != null && present.id.equals(call.expectedInstance())) {
			try {
				this.world.note("late: " + call.path() + " " + Json.object(call.body()).get("task") + " run "
						+ Json.object(call.body()).get("run") + " at " + present.id);
				present.carryOut(call);
			}
			catch (Exception ex) {
				this.world.note("late order failed: " + ex);
			}
		}
	}

	/** Ends the life without a word: what ran is gone, connections end. */
	synchronized void crash() {
		Life ended = this.life;
		this.life = null;
		ended.end();
		this.server.stop(0);
		TIMER.schedule(() -> this.world.store.remove("servers/" + ended.id), 3 * HEARTBEAT_MS, TimeUnit.MILLISECONDS);
	}

	synchronized int runningTasks() {
		return (this.life != null) ? this.life.runs.size() : 0;
	}

	synchronized boolean up() {
		return this.life != null;
	}

	synchronized boolean runs(String task) {
		return this.life != null && this.life.runs.containsKey(task);
	}

	/** Crashes, and starts again as another life at the same address. */
	void crashFor(long millis) {
		crash();
		TIMER.schedule(() -> {
			try {
				start();
			}
			catch (IOException ex) {
				this.world.note("minion " + this.name + " could not be started again: " + ex);
			}
		}, millis, TimeUnit.MILLISECONDS);
	}

	String name() {
		return this.name;
	}

	static final class Run {

		final String task;

		final long run;

		long startedAt;

		World.Step step;

		long[] size;

		long percent = 100;

		boolean stopping;

		ScheduledFuture<?> end;

		/** The checkpoint that the start carried; empty if there was none. */
		String carried = "";

		/** When the work began, on the clock of the minion; negative before that. */
		long workFrom = -1;

		Run(String task, long run) {
			this.task = task;
			this.run = run;
		}

	}

	/** One life of the minion. */
	final class Life {

		final String id;

		final long born = System.currentTimeMillis();

		private final long clockZero = System.nanoTime() - 400_000_000_000L;

		final Map<String, Run> runs = new LinkedHashMap<>();

		private final List<Object[]> ends = new ArrayList<>();

		/** The highest run of each task that was stopped or has ended here. */
		private final Map<String, Long> over = new HashMap<>();

		private long lastEnd;

		private long fence;

		private long lease;

		private long usedCpu;

		private long usedMemory;

		private boolean ended;

		Life(String id) {
			this.id = id;
			TIMER.schedule(this::checkLease, 20, TimeUnit.MILLISECONDS);
		}

		long clock() {
			return (System.nanoTime() - this.clockZero) / 1_000_000;
		}

		String entry() {
			Map<String, Object> entry = new LinkedHashMap<>();
			entry.put("service", World.SERVICE);
			entry.put("address", "127.0.0.1:" + Minion.this.address.getPort());
			entry.put("zone", "z1");
			entry.put("version", "v1");
			entry.put("slots", 8L);
			entry.put("state", "ready");
			entry.put("cold-left-ms", 0L);
			entry.put("seq", 1L);
			entry.put("born", this.born);
			entry.put("capacity", Map.of("cpu", Minion.this.cpu, "mem-mb", 256_000L, "gpu", 0L));
			entry.put("labels", List.of("a", Minion.this.rack));
			return Json.write(entry);
		}

		private synchronized void checkLease() {
			if (this.ended) {
				return;
			}
			if (clock() >= this.lease) {
				List.copyOf(this.runs.values()).forEach((run) -> finish(run, "lapsed"));
			}
			TIMER.schedule(this::checkLease, 20, TimeUnit.MILLISECONDS);
		}

		synchronized void end() {
			this.ended = true;
			for (Run run : this.runs.values()) {
				Minion.this.world.crashed(run.task, run.run, this.id);
				Minion.this.world.gangs.left(run.task, run.run, "crashed");
			}
			this.runs.values().forEach(Life::cancel);
			this.runs.clear();
			notifyAll();
		}

		private synchronized void finish(Run run, String how) {
			if (this.ended || this.runs.get(run.task) != run) {
				return;
			}
			cancel(run);
			this.runs.remove(run.task);
			this.usedCpu -= run.size[0];
			this.usedMemory -= run.size[1];
			this.over.merge(run.task, run.run, Math::max);
			this.ends.add(new Object[] { ++this.lastEnd, run.task, run.run, how, checkpoint(run, true) });
			Minion.this.world.ended(run.task, run.run, this.id, how);
			Minion.this.world.gangs.left(run.task, run.run, how);
			notifyAll();
		}

		private static boolean fills(World.Step step) {
			return Boolean.TRUE.equals(step.more().get("fills"));
		}

		private static void cancel(Run run) {
			if (run.end != null) {
				run.end.cancel(false);
			}
		}

		private long percent(Run run) {
			long age = (run.workFrom >= 0) ? clock() - run.workFrom + workIn(run.carried) : 0;
			return run.step.lasts() ? ((age >= STARTUP_MS) ? 100 : 0)
					: Math.min(99, 100 * age / Math.max(1, run.step.workMs()));
		}

		/** The tail of a task that serves, in milliseconds; the cpu of any other. */
		private long figure(Run run) {
			Object target = run.step.more().get("target-ms");
			return (target != null) ? (long) (Minion.this.world.tailShare * ((Number) target).doubleValue())
					: run.step.cpu() * run.percent / 100;
		}

		private synchronized void beginWork(Run run) {
			if (this.runs.get(run.task) != run) {
				return;
			}
			cancel(run);
			run.workFrom = clock();
			run.end = run.step.lasts() ? null : TIMER.schedule(() -> finish(run, "done"),
					Math.max(1, run.step.workMs() - workIn(run.carried)), TimeUnit.MILLISECONDS);
		}

		private static long workIn(String checkpoint) {
			return checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint.substring(0, 8), 16);
		}

		/** The work of a run in whole multiples of `save-s`, or all of it at an end. */
		private String checkpoint(Run run, boolean atEnd) {
			if (!Boolean.TRUE.equals(run.step.more().get("checkpointing")) || run.workFrom < 0) {
				return run.carried;
			}
			long worked = clock() - run.workFrom;
			long saved = atEnd ? worked : worked / SAVE_MS * SAVE_MS;
			if (saved == 0) {
				return run.carried;
			}
			String step = run.task.substring(0, run.task.lastIndexOf('.'));
			return String.format("%08x%08x", workIn(run.carried) + saved, step.hashCode());
		}

		/** A run of a gang, as the other members see it. */
		final class Member {

			private final Run run;

			Member(Run run) {
				this.run = run;
			}

			void begin() {
				beginWork(this.run);
			}

			void breakUp() {
				finish(this.run, "broken");
			}

		}

		Http.Answer handle(Http.Call call) throws Exception {
			long cut = (Minion.this.cutUntil - System.nanoTime()) / 1_000_000;
			if (cut > 0) {
				Thread.sleep(cut);
				return null;
			}
			boolean order = !call.path().equals("/lentilstream/hold");
			if (order && Minion.this.world.leavesUnanswered()) {
				Minion.this.lateStarts.addAndGet(call.path().equals(START) ? 1 : 0);
				long late = MIN_LATE_MS + (long) (Math.random() * (MAX_LATE_MS - MIN_LATE_MS));
				TIMER.schedule(() -> carryOutLate(call), late, TimeUnit.MILLISECONDS);
				Thread.sleep(1000);
				return null;
			}
			return carryOut(call);
		}

		private Http.Answer carryOut(Http.Call call) throws Exception {
			if (this.ended) {
				return null;
			}
			Map<String, Object> body = (call.body().isEmpty()) ? Map.of() : Json.object(call.body());
			if (call.expectedInstance() != null && !call.expectedInstance().equals(this.id)) {
				return answer(421, new LinkedHashMap<>());
			}
			return switch (call.path()) {
				case START -> startRun(body);
				case "/lentilstream/run-stop" -> stopRun(body);
				case "/lentilstream/hold" -> hold(body);
				case "/lentilstream/pace" -> pace(body);
				default -> answer(404, new LinkedHashMap<>());
			};
		}

		private Http.Answer answer(int status, Map<String, Object> body) {
			if (this.ended) {
				return null;
			}
			body.put("clock-ms", clock());
			body.put("born", this.born);
			return new Http.Answer(status, Json.write(body));
		}

		private Http.Answer refuse(String reason) {
			Map<String, Object> body = new LinkedHashMap<>();
			body.put("reason", reason);
			return answer(409, body);
		}

		private boolean fenced(Map<String, Object> body) {
			long token = Json.number(body.get("fencing-token"), 0);
			if (token < this.fence) {
				return true;
			}
			this.fence = token;
			return false;
		}

		private void extend(Map<String, Object> body) {
			long deadline = Json.number(body.get("deadline-ms"), 0);
			this.lease = Math.max(this.lease, Math.min(deadline, clock() + MAX_HOLD_MS));
		}

		private synchronized Http.Answer startRun(Map<String, Object> body) {
			if (fenced(body)) {
				return refuse("fence");
			}
			String task = (String) body.get("task");
			long number = Json.number(body.get("run"), 0);
			Run present = this.runs.get(task);
			if (present != null && present.run == number) {
				return answer(200, new LinkedHashMap<>());
			}
			if (number <= this.over.getOrDefault(task, 0L) || present != null) {
				extend(body);
				return refuse("old");
			}
			if (Json.number(body.get("deadline-ms"), 0) <= clock()) {
				return refuse("late");
			}
			extend(body);
			World.Step step = Minion.this.world.jobOf(task).stepOf(task);
			long[] size = { fills(step) ? 0 : step.cpu(), step.memory() };
			if (this.usedCpu + size[0] > Minion.this.cpu || this.usedMemory + size[1] > 256_000) {
				return refuse("room");
			}
			Run run = new Run(task, number);
			run.size = size;
			run.step = step;
			run.startedAt = clock();
			this.usedCpu += size[0];
			this.usedMemory += size[1];
			this.runs.put(task, run);
			run.carried = (String) body.getOrDefault("checkpoint", "");
			Minion.this.world.started(task, number, this.id, run.carried);
			if (Boolean.TRUE.equals(step.more().get("gang"))) {
				run.end = TIMER.schedule(() -> finish(run, "alone"), GANG_WAIT_MS, TimeUnit.MILLISECONDS);
				Minion.this.world.gangs.arrived(task, number, step.count(), new Member(run));
			}
			else {
				beginWork(run);
			}
			return answer(200, new LinkedHashMap<>());
		}

		private synchronized Http.Answer stopRun(Map<String, Object> body) {
			if (fenced(body)) {
				return refuse("fence");
			}
			String task = (String) body.get("task");
			long number = Json.number(body.get("run"), 0);
			Run present = this.runs.get(task);
			if (present == null || present.run != number) {
				this.over.merge(task, number, Math::max);
			}
			else if (!present.stopping) {
				present.stopping = true;
				TIMER.schedule(() -> finish(present, "stopped"), STOP_MS, TimeUnit.MILLISECONDS);
			}
			return answer(200, new LinkedHashMap<>());
		}

		private synchronized Http.Answer pace(Map<String, Object> body) {
			if (fenced(body)) {
				return refuse("fence");
			}
			Run present = this.runs.get((String) body.get("task"));
			if (present != null && present.run == Json.number(body.get("run"), 0)) {
				present.percent = Json.number(body.get("percent"), 100);
			}
			return answer(200, new LinkedHashMap<>());
		}

		private synchronized Http.Answer hold(Map<String, Object> body) throws InterruptedException {
			if (fenced(body)) {
				return refuse("fence");
			}
			extend(body);
			long seen = Json.number(body.get("last-seen"), 0);
			for (Object[] end : this.ends) {
				if ((long) end[0] <= seen && end[3].equals("done")) {
					Minion.this.world.noted((String) end[1]);
				}
			}
			this.ends.removeIf((end) -> (long) end[0] <= seen);
			long until = clock() + Math.min(2000, Json.number(body.get("wait-ms"), 0));
			while (this.ends.isEmpty() && !this.ended && clock() < until) {
				wait(Math.max(1, until - clock()));
			}
			List<Object> running = new ArrayList<>();
			for (Run run : this.runs.values()) {
				running.add(List.of(run.task, run.run, checkpoint(run, false), percent(run), figure(run)));
			}
			List<Object> finished = new ArrayList<>();
			for (Object[] end : this.ends.subList(0, Math.min(500, this.ends.size()))) {
				finished.add(List.of(end));
			}
			Map<String, Object> answer = new LinkedHashMap<>();
			answer.put("running", running);
			answer.put("finished", finished);
			return answer(200, answer);
		}

	}

}
