package io.lentilstream.jobs;

/**
 * One incarnation of a VM, from its start until it shuts down or crashes.
 *
 * @param worker the VM
 * @param startMillis when the incarnation started, in milliseconds since 1970
 */
public record WorkerIncarnation(WorkerId worker, long startMillis) {
}
