package io.lentilstream.benchmarks.tasks.baselines;

import io.lentilstream.model.Resources;

/**
 * Is a program of a team.
 *
 * @param name the name
 * @param team the team
 * @param declared the smaller one of the two sizes that its jobs declare
 * @param coreRatio real processor use relative to the declared one
 * @param memoryRatio real memory use relative to the declared one
 * @param noise how much a VM full of this program slows down a fully sensitive neighbour
 * @param sensitivity the share of the neighbours' noise that slows this program down
 */
record SimulatedProgram(String name, String team, Resources declared, double coreRatio, double memoryRatio,
		double noise, double sensitivity) {
}
