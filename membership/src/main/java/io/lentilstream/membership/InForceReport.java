package io.lentilstream.membership;

import java.util.List;

import io.lentilstream.model.VmId;

/**
 * The entry VMs, grouped by whether they have a revision in force.
 *
 * @param inForce VMs that have the revision or a higher one
 * @param behind VMs that have an earlier one
 * @param unknown VMs that cannot be assigned to either group: they sent no digest, or one
 * that is not in the history of this process
 */
public record InForceReport(List<VmId> inForce, List<VmId> behind, List<VmId> unknown) {
}
