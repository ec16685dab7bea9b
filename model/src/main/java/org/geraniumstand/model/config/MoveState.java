package org.geraniumstand.model.config;

/** State of a version move in the configuration. */
public enum MoveState {
    /** The move is in progress. */
    UNDER_WAY,
    /** The new version receives all traffic. */
    DONE,
    /** The move was rolled back; the old version receives all traffic again. */
    WITHDRAWN
}
