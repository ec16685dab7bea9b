package org.geraniumstand.outside.cloud;

/** States why a call to the cloud provider or the host list failed. */
public enum CloudError {
    /** The service did not respond in time or refused the connection. */
    UNAVAILABLE,
    /** The cloud provider refused to start a host of the requested class. */
    START_REFUSED,
    /** The order carried an outdated fencing token. */
    FENCED,
    /** The response could not be parsed. */
    MALFORMED
}
