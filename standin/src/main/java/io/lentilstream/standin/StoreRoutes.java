package io.lentilstream.standin;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.lentilstream.clients.http.PlatformJson;
import io.lentilstream.clients.http.PlatformMessages;
import io.lentilstream.clients.http.PlatformMessages.ErrorAnswer;
import io.lentilstream.clients.http.PlatformMessages.LeaseMessage;
import io.lentilstream.clients.http.PlatformMessages.WriteMessage;

/**
 * Answers the calls of the store's clients, counts them and applies the faults.
 */
final class StoreRoutes implements RequestHandler {

	private static final StoreCallCounts READ = new StoreCallCounts(1, 0, 0);

	private static final StoreCallCounts WRITE = new StoreCallCounts(0, 1, 0);

	private static final StoreCallCounts WATCH = new StoreCallCounts(0, 0, 1);

	private final Map<String, StoreCallCounts> counts = new ConcurrentHashMap<>();

	private final StandinStore store;

	private final StoreFaults faults;

	private final TimerQueue timers;

	StoreRoutes(StandinStore store, StoreFaults faults, TimerQueue timers) {
		this.store = store;
		this.faults = faults;
		this.timers = timers;
	}

	@Override
	public void handle(StandinRequest request, Consumer<Reply> answer) {
		String client = request.headerValue(PlatformMessages.CLIENT_ID).orElse("");
		Optional<OutageMode> partition = this.faults.partitionOf(client);
		if (partition.isPresent()) {
			refuse(partition.get(), answer);
			return;
		}
		this.counts.merge(client, kindOf(request), StoreCallCounts::plus);
		if (this.faults.outage().isPresent()) {
			refuse(this.faults.outage().get(), answer);
			return;
		}
		this.timers.after(this.faults.currentDelay(), () -> apply(request, unlessPartitioned(client, answer)));
	}

	static void refuse(OutageMode mode, Consumer<Reply> answer) {
		switch (mode) {
			case REFUSES -> answer.accept(Reply.json(503, new ErrorAnswer(false, "unavailable")));
			case CLOSES -> answer.accept(Reply.closed());
			case HANGS -> {
			}
		}
	}

	private Consumer<Reply> unlessPartitioned(String client, Consumer<Reply> answer) {
		return (reply) -> answer.accept(this.faults.partitionOf(client).isPresent() ? Reply.closed() : reply);
	}

	private static StoreCallCounts kindOf(StandinRequest request) {
		if (request.path().equals("/watch")) {
			return WATCH;
		}
		return request.method().equals("GET") ? READ : WRITE;
	}

	private void apply(StandinRequest request, Consumer<Reply> answer) {
		if (!request.method().equals("GET")) {
			Reply reply = applyWrite(request);
			answer.accept(this.faults.takeLostReply() ? Reply.closed() : reply);
			return;
		}
		switch (request.path()) {
			case "/value" -> answer.accept(this.store.read(request.parameter("key").orElse("")));
			case "/list" -> answer.accept(this.store.list(request.parameter("prefix").orElse("")));
			case "/watch" -> this.store.watch(request.parameter("prefix").orElse(""), number(request, "after"),
					Duration.ofMillis(number(request, "waitMillis")), answer);
			default -> answer.accept(StandinRouter.notFound());
		}
	}

	private Reply applyWrite(StandinRequest request) {
		String[] parts = request.path().split("/");
		if (request.path().equals("/write")) {
			return PlatformJson.read(request.body(), WriteMessage.class)
				.map(this.store::write)
				.orElseGet(StandinRouter::badRequest);
		}
		if (request.path().equals("/leases")) {
			return PlatformJson.read(request.body(), LeaseMessage.class)
				.map((message) -> this.store.grantLease(Duration.ofMillis(message.ttlMillis())))
				.orElseGet(StandinRouter::badRequest);
		}
		if (parts.length == 4 && parts[1].equals("leases") && parts[2].matches("\\d{1,18}")) {
			long lease = Long.parseLong(parts[2]);
			return parts[3].equals("renew") ? this.store.renewLease(lease) : this.store.revokeLease(lease);
		}
		return StandinRouter.notFound();
	}

	private static long number(StandinRequest request, String name) {
		return Long.parseLong(request.parameter(name).orElse("0"));
	}

	StoreCallCounts total() {
		return this.counts.values().stream().reduce(new StoreCallCounts(0, 0, 0), StoreCallCounts::plus);
	}

	StoreCallCounts of(String client) {
		return this.counts.getOrDefault(client, new StoreCallCounts(0, 0, 0));
	}

}
