package org.geraniumstand.model.relay;

import java.util.OptionalDouble;

/**
 * Reports a server's limit and grants a process a share of it.
 *
 * @param limit the limit
 * @param share fraction of the limit that the process may use, empty if nothing is granted or denied
 */
public record LimitShare(ServerLimit limit, OptionalDouble share) {}
