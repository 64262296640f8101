package io.lentilstream.control.term;

import java.util.HashMap;
import java.util.Map;

import io.lentilstream.jobs.WorkerId;

/**
 * The fencing tokens of the commands of one term. They are revisions at which this
 * process was the leader in the store: that of its election, and for VMs that have
 * restarted under their ids that of a later commit. A successor is elected at a higher
 * revision than any of them.
 */
final class FencingTokens {

	private final long elected;

	private final Map<WorkerId, Long> raised = new HashMap<>();

	private long latestCommit;

	FencingTokens(long elected) {
		this.elected = elected;
	}

	/**
	 * Returns the revision of the election, which commits of this term require.
	 * @return the revision of the leader's item
	 */
	long elected() {
		return this.elected;
	}

	/**
	 * Returns the fencing token of the next command.
	 * @param worker the VM that receives it
	 * @return the token
	 */
	long tokenFor(WorkerId worker) {
		return this.raised.getOrDefault(worker, this.elected);
	}

	/**
	 * Records a commit that required that this process is the leader.
	 * @param revision the revision of the commit
	 */
	void committed(long revision) {
		this.latestCommit = Math.max(this.latestCommit, revision);
	}

	/**
	 * Raises the token of a VM, so that it refuses earlier commands.
	 * @param worker the VM
	 * @return {@code false} if nothing has been committed since it was last raised
	 */
	boolean raise(WorkerId worker) {
		if (this.latestCommit <= tokenFor(worker)) {
			return false;
		}
		this.raised.put(worker, this.latestCommit);
		return true;
	}

}
