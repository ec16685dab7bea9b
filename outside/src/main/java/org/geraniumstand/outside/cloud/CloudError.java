package org.geraniumstand.outside.cloud;

/** Why a call of the cloud or the host list did not work. */
public enum CloudError {
    /** It did not answer in time or refused the connection. */
    UNAVAILABLE,
    /** It refused to start a host of the class asked for. */
    START_REFUSED,
    /** The order carried an old fencing number. */
    FENCED,
    /** The answer could not be understood. */
    MALFORMED
}
