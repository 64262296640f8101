package io.lentilstream.control.api;

import java.util.function.Consumer;

import io.lentilstream.control.EventLoop;
import io.lentilstream.model.JobId;

/**
 * Asks the leader whether the tasks of a cancelled job stop in time, until it confirms
 * that or the caller stops waiting. Leaders may change meanwhile. Load pattern: many jobs
 * are cancelled while there is no leader.
 */
final class CancellationConfirmer {

	/** The delay before the second question, in milliseconds; doubled by each further. */
	private static final long FIRST_DELAY_MILLIS = 20;

	/** The longest delay between two questions, in milliseconds. */
	private static final long MAX_DELAY_MILLIS = 160;

	private final EventLoop loop;

	private final LeaderQuestion question;

	CancellationConfirmer(EventLoop loop, LeaderQuestion question) {
		this.loop = loop;
		this.question = question;
	}

	/**
	 * Waits for the confirmation of a stored cancellation.
	 * @param job the cancelled job
	 * @param answerBy until when to wait, on the steady clock in milliseconds
	 * @param callback receives the outcome, once
	 */
	void await(JobId job, long answerBy, Consumer<Outcome> callback) {
		Wait wait = new Wait(job, callback);
		long now = this.loop.now();
		this.loop.schedule(Math.max(now, answerBy) - now, () -> wait.finish(Outcome.UNCONFIRMED));
		wait.ask(FIRST_DELAY_MILLIS);
	}

	/**
	 * The wait for the confirmation of one cancellation.
	 */
	private final class Wait {

		private final JobId job;

		private final Consumer<Outcome> callback;

		private boolean finished;

		Wait(JobId job, Consumer<Outcome> callback) {
			this.job = job;
			this.callback = callback;
		}

		void ask(long delay) {
			if (this.finished) {
				return;
			}
			CancellationConfirmer.this.question.ask(this.job, (guaranteed) -> {
				if (guaranteed) {
					finish(Outcome.GUARANTEED);
					return;
				}
				CancellationConfirmer.this.loop.schedule(delay, () -> ask(Math.min(2 * delay, MAX_DELAY_MILLIS)));
			});
		}

		void finish(Outcome outcome) {
			if (!this.finished) {
				this.finished = true;
				this.callback.accept(outcome);
			}
		}

	}

	/**
	 * Asks the leader, whichever process that is, about a cancelled job.
	 */
	@FunctionalInterface
	interface LeaderQuestion {

		/**
		 * Announces a cancellation to the leader and asks for its guarantee.
		 * @param job the cancelled job
		 * @param answer receives whether the tasks stop in time; {@code false} if there
		 * is no leader, or it does not answer
		 */
		void ask(JobId job, Consumer<Boolean> answer);

	}

	/**
	 * The outcome of a wait.
	 */
	enum Outcome {

		/** The tasks stop in time, even if the leader is lost at once. */
		GUARANTEED,

		/** The leader has not confirmed that. */
		UNCONFIRMED

	}

}
