/**
 * Value types for ids, time, resources and outcomes that every module shares.
 */
package io.lentilstream.model;
