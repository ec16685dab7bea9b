package org.geraniumstand.outside.cloud;

import java.util.List;
import java.util.function.Consumer;
import org.geraniumstand.model.capacity.CloudHost;
import org.geraniumstand.model.capacity.HostOrder;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.result.Result;

/**
 * The cloud's interface to start and stop hosts.
 *
 * <p>Orders name the host and state the end that is wanted, so that repeating one is harmless. Each carries the
 * fencing number of the lease holder that gives it. Calls do not block; answers arrive at the callbacks on a thread
 * of the implementation.
 */
public interface CloudApi {
    /**
     * Reads all hosts that are starting, running or stopping.
     *
     * @param callback told the hosts
     */
    void hosts(Consumer<Result<List<CloudHost>, CloudError>> callback);

    /**
     * Orders that a host exists.
     *
     * @param order the host that is wanted
     * @param fence the lease holder's fencing number
     * @param callback told the order, {@link CloudError#START_REFUSED} or {@link CloudError#FENCED}
     */
    void start(HostOrder order, long fence, Consumer<Result<HostOrder, CloudError>> callback);

    /**
     * Orders that a host does not exist.
     *
     * @param host the host
     * @param fence the lease holder's fencing number
     * @param callback told the host, also if it did not exist, or {@link CloudError#FENCED}
     */
    void stop(HostId host, long fence, Consumer<Result<HostId, CloudError>> callback);
}
