package org.geraniumstand.support.net;

import io.undertow.client.ClientCallback;
import java.io.IOException;
import java.util.function.Consumer;

/** Creates callbacks for Undertow's HTTP client from lambdas. */
public final class Callbacks {
    private Callbacks() {}

    /**
     * Returns a callback that delegates to two consumers.
     *
     * @param onCompleted called with the result
     * @param onFailed called with the failure
     * @param <T> type of the result
     */
    public static <T> ClientCallback<T> of(Consumer<T> onCompleted, Consumer<IOException> onFailed) {
        return new ClientCallback<>() {
            @Override
            public void completed(T result) {
                onCompleted.accept(result);
            }

            @Override
            public void failed(IOException e) {
                onFailed.accept(e);
            }
        };
    }
}
