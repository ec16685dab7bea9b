package org.geraniumstand.model.config;

/** Where a version move stands in the configuration. */
public enum MoveState {
    /** Traffic is being moved. */
    UNDER_WAY,
    /** The new version has all the traffic. */
    DONE,
    /** The old version has all the traffic again. */
    WITHDRAWN
}
