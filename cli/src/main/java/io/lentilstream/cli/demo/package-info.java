/**
 * The demonstration: a small system on loopback under load and faults.
 */
package io.lentilstream.cli.demo;
