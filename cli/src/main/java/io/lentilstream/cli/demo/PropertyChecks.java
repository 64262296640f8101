package io.lentilstream.cli.demo;

import java.util.List;

/**
 * The checks of the nine properties that the demonstration verifies. Each field is named
 * after its property in the report.
 */
final class PropertyChecks {

	final PropertyCheck vmCapacity = new PropertyCheck("vm-capacity");

	final PropertyCheck singlePlacement = new PropertyCheck("single-placement");

	final PropertyCheck resumeOnce = new PropertyCheck("resume-once");

	final PropertyCheck wholeAnswer = new PropertyCheck("whole-answer");

	final PropertyCheck trueNotRun = new PropertyCheck("true-not-run");

	final PropertyCheck atMostOnce = new PropertyCheck("at-most-once");

	final PropertyCheck leavingEndpoint = new PropertyCheck("leaving-endpoint");

	final PropertyCheck gracefulStop = new PropertyCheck("graceful-stop");

	final PropertyCheck settingsInForce = new PropertyCheck("settings-in-force");

	List<PropertyCheck> all() {
		return List.of(this.vmCapacity, this.singlePlacement, this.resumeOnce, this.wholeAnswer, this.trueNotRun,
				this.atMostOnce, this.leavingEndpoint, this.gracefulStop, this.settingsInForce);
	}

}
