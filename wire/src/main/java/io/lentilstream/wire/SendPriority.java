package io.lentilstream.wire;

/**
 * Orders frames in the send queue, highest first.
 */
public enum SendPriority {

	/** Leases and membership. */
	MEMBERSHIP,

	/** Documents of settings. */
	SETTINGS,

	/** Forwarded requests and their outcomes. */
	REQUESTS,

	/** Reports, which are dropped first. */
	REPORTS

}
