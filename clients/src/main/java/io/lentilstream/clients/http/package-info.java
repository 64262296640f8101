/**
 * HTTP clients of the platform: store, workers, endpoints and list of VMs.
 */
package io.lentilstream.clients.http;
