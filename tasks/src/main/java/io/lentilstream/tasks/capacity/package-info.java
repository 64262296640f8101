/**
 * The committed capacity of each VM and the search for a VM with enough free capacity.
 */
package io.lentilstream.tasks.capacity;
