package io.lentilstream.membership;

import java.util.List;

import io.lentilstream.model.VmId;

/**
 * The entry VMs by whether they have a revision in force.
 *
 * @param inForce VMs that have the revision or a higher one
 * @param behind VMs that have an earlier one
 * @param unknown VMs whose state cannot be told: no recent heartbeat, or a digest that
 * this process never had itself
 */
public record InForceReport(List<VmId> inForce, List<VmId> behind, List<VmId> unknown) {
}
