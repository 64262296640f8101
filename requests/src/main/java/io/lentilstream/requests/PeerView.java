package io.lentilstream.requests;

import io.lentilstream.model.VmId;

/**
 * Holds the last report of a peer and what was sent to it since.
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

	void sent() {
		this.sentSinceReport++;
	}

	void refused(boolean urgent) {
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

	int free() {
		return Math.max(0, this.report.freeSlots() - this.sentSinceReport);
	}

	long waitNanos() {
		return this.report.estimatedWait().toNanos();
	}

	long roundTripNanos() {
		return this.report.roundTrip().toNanos();
	}

}
