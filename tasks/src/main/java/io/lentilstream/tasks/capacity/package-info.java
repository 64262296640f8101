/**
 * Commitments per VM and the search for a VM with room.
 */
package io.lentilstream.tasks.capacity;
