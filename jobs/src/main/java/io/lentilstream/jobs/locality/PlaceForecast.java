package io.lentilstream.jobs.locality;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import io.lentilstream.model.Resources;

/**
 * A forecast of when the VMs of a rack have capacity for the tasks that wait for it. Each
 * task claims the opening that it waits for, so that those behind it see later openings.
 * Load pattern: a crowd of tasks that want the same rack, of which all would otherwise
 * expect the same opening.
 */
public final class PlaceForecast {

	private final Map<String, VmForecast> vms = new LinkedHashMap<>();

	/**
	 * Adds a VM.
	 * @param vm the name of the VM
	 * @param free the resources that are free now
	 * @param releases the expected releases
	 */
	public void addVm(String vm, Resources free, Iterable<Release> releases) {
		VmForecast forecast = new VmForecast(free);
		releases.forEach((release) -> forecast.release(release.at(), release.highAt(), release.resources()));
		this.vms.put(vm, forecast);
	}

	/**
	 * Finds the earliest opening for a task. Openings without end count only, so that a
	 * claim is never delayed by a later one.
	 * @param size the resources that the task reserves
	 * @param suitable tells whether the task may run on a VM
	 * @param now the current time in milliseconds
	 * @return the opening, or empty if none is expected
	 */
	public Optional<Opening> earliest(Resources size, Predicate<String> suitable, long now) {
		Opening earliest = null;
		for (Map.Entry<String, VmForecast> entry : this.vms.entrySet()) {
			if (!suitable.test(entry.getKey())) {
				continue;
			}
			VmForecast.Event event = entry.getValue().earliestFit(size);
			if (event != null && (earliest == null || Math.max(now, event.at()) < earliest.at())) {
				earliest = new Opening(entry.getKey(), Math.max(now, event.at()), Math.max(now, event.highAt()));
			}
		}
		return Optional.ofNullable(earliest);
	}

	/**
	 * Claims an opening for a task, which returns its resources at its end.
	 * @param opening the opening
	 * @param size the resources that the task reserves
	 * @param runMillis the expected run time, in milliseconds
	 */
	public void claim(Opening opening, Resources size, long runMillis) {
		VmForecast forecast = this.vms.get(opening.vm());
		forecast.release(opening.at(), opening.highAt(), Resources.NONE.minus(size));
		forecast.release(opening.at() + runMillis, opening.highAt() + runMillis, size);
	}

}
