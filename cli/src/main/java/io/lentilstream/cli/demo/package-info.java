/**
 * The demonstration: a small cluster on loopback under load and injected faults.
 */
package io.lentilstream.cli.demo;
