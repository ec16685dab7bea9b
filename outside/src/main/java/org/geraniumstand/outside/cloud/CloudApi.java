package org.geraniumstand.outside.cloud;

import java.util.List;
import java.util.function.Consumer;
import org.geraniumstand.model.capacity.CloudHost;
import org.geraniumstand.model.capacity.HostOrder;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.result.Result;

/**
 * Starts and stops hosts through the cloud provider's API.
 *
 * <p>An order names the host and its desired state, so repeated orders are idempotent. Each order carries the fencing
 * token of the lease holder that sends it. Calls do not block; callbacks run on a thread of the implementation.
 */
public interface CloudApi {
    /**
     * Lists all hosts that are starting, running or stopping.
     *
     * @param callback called with the hosts or the error
     */
    void hosts(Consumer<Result<List<CloudHost>, CloudError>> callback);

    /**
     * Orders the start of a host; has no effect if the host exists.
     *
     * @param order the host to start
     * @param fencingToken fencing token of the lease holder
     * @param callback called with the accepted order, or with {@link CloudError#START_REFUSED} or
     *     {@link CloudError#FENCED}
     */
    void start(HostOrder order, long fencingToken, Consumer<Result<HostOrder, CloudError>> callback);

    /**
     * Orders the stop of a host; has no effect if the host does not exist.
     *
     * @param host the host to stop
     * @param fencingToken fencing token of the lease holder
     * @param callback called with the host, even if it did not exist, or with {@link CloudError#FENCED}
     */
    void stop(HostId host, long fencingToken, Consumer<Result<HostId, CloudError>> callback);
}
