package io.lentilstream.requests;

import io.lentilstream.model.VmId;

/**
 * The last report of a peer, with the requests sent to it and refused by it since.
 */
final class PeerView {

	final VmId id;

	private PeerReport report;

	private int sentSinceReport;

	private boolean refusedSinceReport;

	private boolean refusedBatchSinceReport;

	PeerView(VmId id) {
		this.id = id;
	}

	void update(PeerReport newReport) {
		if (this.report == null || newReport.receivedAt().isAfter(this.report.receivedAt())) {
			this.sentSinceReport = 0;
			this.refusedSinceReport = false;
			this.refusedBatchSinceReport = false;
		}
		this.report = newReport;
	}

	void requestSent() {
		this.sentSinceReport++;
	}

	void requestRefused(boolean urgent) {
		this.refusedBatchSinceReport = true;
		this.refusedSinceReport |= urgent;
	}

	boolean usable(boolean urgent, long now, long maxAgeNanos) {
		boolean refused = urgent ? this.refusedSinceReport : this.refusedBatchSinceReport;
		return !refused && now - this.report.receivedAt().nanos() <= maxAgeNanos;
	}

	boolean sameZone() {
		return this.report.sameZone();
	}

	int freeSlots() {
		return Math.max(0, this.report.freeSlots() - this.sentSinceReport);
	}

	long waitNanos() {
		return this.report.estimatedWait().toNanos();
	}

	long roundTripNanos() {
		return this.report.roundTrip().toNanos();
	}

}
