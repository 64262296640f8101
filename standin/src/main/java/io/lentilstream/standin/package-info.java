/**
 * Stand-in of the platform over HTTP on loopback, with switches for faults and records of
 * what ran.
 */
package io.lentilstream.standin;
