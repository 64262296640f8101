package io.lentilstream.control.shutdown;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.lentilstream.control.ManualEventLoop;
import io.lentilstream.control.http.RequestsInFlight;

import static org.assertj.core.api.Assertions.assertThat;

class GracefulShutdownTests {

	private static final long GRACE_MILLIS = 6000;

	private final ManualEventLoop loop = new ManualEventLoop();

	private final List<String> log = new ArrayList<>();

	private final List<String> exits = new ArrayList<>();

	private final FakeServer server = new FakeServer();

	private boolean released = true;

	private long leadUntil;

	private final GracefulShutdown shutdown = new GracefulShutdown(this.loop,
			(decision, subject, inputs) -> this.log.add(decision + " " + List.of(inputs)), "node", GRACE_MILLIS,
			this.server, new FakeLeader(), (cause) -> this.exits.add(cause + " after " + this.loop.now()));

	@Test
	void aProcessWithoutRequestsExitsOnceItHasStoppedListening() {
		begin();
		this.loop.runFor(2500);
		assertThat(this.exits).isEmpty();
		this.loop.runFor(200);
		assertThat(this.exits).hasSize(1);
	}

	@Test
	void aRequestIsAwaitedBeforeTheExit() {
		this.server.inFlight = 1;
		begin();
		this.loop.runFor(4000);
		assertThat(this.exits).isEmpty();
		this.server.inFlight = 0;
		this.loop.runFor(100);
		assertThat(this.exits).hasSize(1);
		assertThat(this.server.answeredUnfinished).isZero();
	}

	// Guards against requests that are cut by the exit.
	@Test
	void aRequestThatWaitsForTooLongIsAnsweredBeforeTheExit() {
		this.server.inFlight = 2;
		begin();
		this.loop.runFor(5350);
		assertThat(this.server.answeredUnfinished).isEqualTo(2);
		assertThat(this.log.get(this.log.size() - 1)).startsWith("requests-unfinished [count, 2");
		assertThat(this.exits).hasSize(1);
	}

	@Test
	void aResponseIsSentBeforeTheExit() {
		this.server.sent = false;
		begin();
		this.loop.runFor(5500);
		assertThat(this.exits).isEmpty();
		this.loop.runFor(200);
		assertThat(this.exits).hasSize(1);
	}

	@Test
	void aLeaseThatIsNotReleasedDelaysTheExitWithinTheGracePeriod() {
		this.released = false;
		begin();
		this.loop.runFor(5500);
		assertThat(this.exits).isEmpty();
		this.loop.runFor(GRACE_MILLIS - 5500);
		assertThat(this.exits).hasSize(1);
	}

	@Test
	void aRepeatedSignalIsLoggedAndDoesNotChangeTheDeadlines() {
		begin();
		this.loop.runFor(1000);
		this.shutdown.begin("INT");
		this.loop.runFor(1700);
		assertThat(this.exits).hasSize(1).first().asString().startsWith("TERM");
		assertThat(this.log).anyMatch((line) -> line.contains("INT, repeated, true"));
	}

	@Test
	void theLeaderIsToldWhenToEndItsLeaseBeforeTheExit() {
		begin();
		long exitBy = this.loop.now() + 6000 - 400;
		assertThat(this.leadUntil).isGreaterThan(this.loop.now()).isLessThan(exitBy);
	}

	private void begin() {
		this.shutdown.begin("TERM");
	}

	private final class FakeLeader implements GracefulShutdown.Leader {

		@Override
		public void drain(long leadUntil) {
			GracefulShutdownTests.this.leadUntil = leadUntil;
		}

		@Override
		public boolean released() {
			return GracefulShutdownTests.this.released;
		}

	}

	private static final class FakeServer implements GracefulShutdown.Server {

		private int inFlight;

		private int answeredUnfinished;

		private boolean sent = true;

		@Override
		public void closeAfterResponses() {
		}

		@Override
		public void stop() {
		}

		@Override
		public RequestsInFlight inFlight() {
			return new RequestsInFlight(this.inFlight, 0, "");
		}

		@Override
		public int answerUnfinished() {
			this.answeredUnfinished += this.inFlight;
			this.inFlight = 0;
			return this.answeredUnfinished;
		}

		@Override
		public boolean responsesSent() {
			return this.sent;
		}

	}

}
