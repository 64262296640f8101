/**
 * Narrow interfaces to the platform: store, workers, endpoints and list of VMs.
 */
package io.lentilstream.clients;
