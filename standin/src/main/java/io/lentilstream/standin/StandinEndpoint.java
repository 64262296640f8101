package io.lentilstream.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.lentilstream.clients.http.PlatformMessages;
import io.lentilstream.clients.http.PlatformMessages.InFlightAnswer;
import io.lentilstream.clients.http.PlatformMessages.KeyAnswer;
import io.lentilstream.model.MonotonicTime;

/**
 * Runs requests in slots behind a guard. It does not deduplicate idempotency keys, so
 * that a key that is sent twice is seen to run twice.
 */
final class StandinEndpoint implements RequestHandler {

	private static final String SERVICE_MILLIS = "Standin-Service-Ms";

	private static final String ANSWER_BYTES = "Standin-Answer-Bytes";

	private static final String OUTCOMES = "/outcomes/";

	private static final String SEAL = "/seal";

	private static final int MAXIMUM_ANSWER_BYTES = 32_000_000;

	private final Topology.EndpointVm vm;

	private final TimerQueue timers;

	private final RunRecords records;

	private final RandomGenerator random;

	private final Runnable onLeave;

	private final EndpointFaults faults = new EndpointFaults(this);

	private final Map<String, KeyState> keys = new HashMap<>();

	private final List<Runnable> hanging = new ArrayList<>();

	private Reply lastAnswer = answer("another-request", new byte[0]);

	private MonotonicTime leavingSince;

	private Duration lastWorkAfterLeaving;

	private int running;

	private int open;

	private int highestRunning;

	private int highestOpen;

	private long runs;

	private long refusals;

	StandinEndpoint(Topology.EndpointVm vm, TimerQueue timers, RunRecords records, RandomGenerator random,
			Runnable onLeave) {
		this.vm = vm;
		this.random = random;
		this.timers = timers;
		this.records = records;
		this.onLeave = onLeave;
	}

	EndpointFaults faults() {
		return this.faults;
	}

	@Override
	public void handle(StandinRequest request, Consumer<Reply> answer) {
		String id = request.headerValue(PlatformMessages.REQUEST_ID).orElse("");
		if (request.path().equals("/in-flight")) {
			answer.accept(withId(id, inFlight()));
		}
		else if (request.path().startsWith(OUTCOMES)) {
			answer.accept(withId(id, outcome(request)));
		}
		else {
			run(request, id, answer);
		}
	}

	private static Reply withId(String id, Reply reply) {
		return reply.withHeaders(Map.of(PlatformMessages.REQUEST_ID, id));
	}

	private synchronized Reply inFlight() {
		return Reply.json(200, new InFlightAnswer(this.running));
	}

	private synchronized Reply outcome(StandinRequest request) {
		String key = request.path().substring(OUTCOMES.length());
		if (!request.method().equals("PUT") || !key.endsWith(SEAL)) {
			return state(key, null);
		}
		return state(key.substring(0, key.length() - SEAL.length()),
				new String(request.body(), StandardCharsets.UTF_8));
	}

	private Reply state(String key, String sealedAttempt) {
		KeyState state = this.keys.get(key);
		if (state != null && state.answer != null) {
			return Reply.json(200,
					new KeyAnswer(key, "ran", state.answer.status(), state.answer.contentType(), state.answer.body()));
		}
		if (state != null && state.running > 0) {
			return Reply.json(200, new KeyAnswer(key, "running", 0, null, null));
		}
		if (sealedAttempt != null) {
			this.keys.computeIfAbsent(key, (name) -> new KeyState()).sealedAttempts.add(sealedAttempt);
		}
		boolean sealed = sealedAttempt != null || (state != null && !state.sealedAttempts.isEmpty());
		return Reply.json(200, new KeyAnswer(key, sealed ? "sealed" : "unseen", 0, null, null));
	}

	private void run(StandinRequest request, String id, Consumer<Reply> answer) {
		EndpointFault fault = this.faults.take();
		if (fault == EndpointFault.CLOSES_ON_ARRIVAL) {
			answer.accept(Reply.closed());
			return;
		}
		Optional<String> key = request.headerValue(PlatformMessages.IDEMPOTENCY_KEY);
		Optional<String> refusal = admit(fault, id, key);
		if (refusal.isPresent()) {
			answer
				.accept(new Reply(503,
						Map.of(PlatformMessages.REQUEST_ID, id, PlatformMessages.REFUSED, refusal.get(), "Retry-After",
								"0"),
						"text/plain", refusal.get().getBytes(StandardCharsets.UTF_8), Reply.Delivery.WHOLE));
			return;
		}
		this.timers.after(serviceTime(request), () -> finish(request, id, key, fault, answer));
	}

	private synchronized Optional<String> admit(EndpointFault fault, String id, Optional<String> key) {
		Optional<String> refusal = refusal(fault, id, key);
		if (refusal.isPresent()) {
			this.refusals++;
			return refusal;
		}
		this.runs++;
		this.running++;
		this.open++;
		this.highestRunning = Math.max(this.highestRunning, this.running);
		this.highestOpen = Math.max(this.highestOpen, this.open);
		if (this.leavingSince != null) {
			this.lastWorkAfterLeaving = this.leavingSince.until(this.timers.now());
		}
		key.ifPresent((name) -> {
			this.keys.computeIfAbsent(name, (absent) -> new KeyState()).running++;
			this.records.countKeyRun(name);
		});
		return refusal;
	}

	private Optional<String> refusal(EndpointFault fault, String id, Optional<String> key) {
		if (fault == EndpointFault.REFUSES_AS_LEAVING) {
			return Optional.of(PlatformMessages.REFUSED_LEAVING);
		}
		if (key.map(this.keys::get).filter((state) -> state.sealedAttempts.contains(id)).isPresent()) {
			return Optional.of(PlatformMessages.REFUSED_SEALED);
		}
		boolean full = this.running >= this.vm.slots() || this.open >= this.vm.connections();
		if (full || fault == EndpointFault.REFUSES) {
			return Optional.of(PlatformMessages.REFUSED_FULL);
		}
		return Optional.empty();
	}

	private Duration serviceTime(StandinRequest request) {
		long nanos = request.headerValue(SERVICE_MILLIS)
			.filter((text) -> text.matches("\\d{1,9}"))
			.map((text) -> Duration.ofMillis(Long.parseLong(text)))
			.orElseGet(this::drawServiceTime)
			.toNanos();
		return Duration.ofNanos(Math.round(nanos * this.faults.slowness()));
	}

	private synchronized Duration drawServiceTime() {
		return this.vm.serviceTimes().draw(this.random);
	}

	private void finish(StandinRequest request, String id, Optional<String> key, EndpointFault fault,
			Consumer<Reply> answer) {
		if (fault == EndpointFault.HANGS) {
			synchronized (this) {
				this.hanging.add(() -> finish(request, id, key, EndpointFault.CLOSES_BEFORE_HEADERS, answer));
			}
			return;
		}
		Reply whole = answer(id, bodyOf(request));
		Reply sent = end(whole, key, fault);
		if (fault == EndpointFault.ANSWERS_LATE) {
			this.timers.after(this.faults.lateBy(), () -> send(sent, answer));
			return;
		}
		send(sent, answer);
	}

	private synchronized Reply end(Reply whole, Optional<String> key, EndpointFault fault) {
		this.running--;
		key.ifPresent((name) -> {
			KeyState state = this.keys.get(name);
			state.running--;
			state.answer = whole;
		});
		Reply other = this.lastAnswer;
		this.lastAnswer = whole;
		return switch (fault) {
			case CLOSES_BEFORE_HEADERS -> whole.delivered(Reply.Delivery.CLOSED);
			case CLOSES_IN_BODY -> whole.delivered(Reply.Delivery.CLOSED_IN_BODY);
			case CLOSES_IN_CHUNKS -> whole.delivered(Reply.Delivery.CLOSED_IN_CHUNKS);
			case ANSWERS_TWICE -> whole.delivered(Reply.Delivery.TWICE);
			case ANSWERS_OTHER_REQUEST -> other;
			default -> whole;
		};
	}

	private void send(Reply reply, Consumer<Reply> answer) {
		synchronized (this) {
			this.open--;
		}
		answer.accept(reply);
	}

	private static Reply answer(String id, byte[] body) {
		return new Reply(200, Map.of(PlatformMessages.REQUEST_ID, id), "application/octet-stream", body,
				Reply.Delivery.WHOLE);
	}

	// Echoes the request, so that a caller can check that it got its own answer.
	private static byte[] bodyOf(StandinRequest request) {
		byte[] echo = request.body();
		if (echo.length == 0) {
			echo = (request.method() + " " + request.path()).getBytes(StandardCharsets.UTF_8);
		}
		int size = request.headerValue(ANSWER_BYTES)
			.filter((text) -> text.matches("\\d{1,8}"))
			.map(Integer::parseInt)
			.orElse(echo.length);
		byte[] body = new byte[Math.min(size, MAXIMUM_ANSWER_BYTES)];
		for (int i = 0; i < body.length; i++) {
			body[i] = echo[i % echo.length];
		}
		return body;
	}

	void leave() {
		synchronized (this) {
			if (this.leavingSince == null) {
				this.leavingSince = this.timers.now();
			}
		}
		this.onLeave.run();
	}

	void releaseHanging() {
		List<Runnable> released;
		synchronized (this) {
			released = List.copyOf(this.hanging);
			this.hanging.clear();
		}
		released.forEach(Runnable::run);
	}

	synchronized EndpointRecord record() {
		return new EndpointRecord(this.runs, this.refusals, this.highestRunning, this.highestOpen,
				Optional.ofNullable(this.lastWorkAfterLeaving));
	}

	/**
	 * What is known about an idempotency key.
	 */
	private static final class KeyState {

		private final Set<String> sealedAttempts = new HashSet<>();

		private int running;

		private Reply answer;

	}

}
