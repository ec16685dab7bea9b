package org.geraniumstand.model.result;

import java.util.Optional;
import java.util.function.Function;

/**
 * Holds the value of a successful operation or the typed error of a failed one.
 *
 * @param <T> type of the value
 * @param <E> type of the error
 */
public sealed interface Result<T, E> permits Result.Ok, Result.Err {
    /**
     * Returns a result that holds a value.
     *
     * @param value the value
     * @param <T> type of the value
     * @param <E> type of the error
     */
    static <T, E> Result<T, E> ok(T value) {
        return new Ok<>(value);
    }

    /**
     * Returns a result that holds an error.
     *
     * @param error the error
     * @param <T> type of the value
     * @param <E> type of the error
     */
    static <T, E> Result<T, E> err(E error) {
        return new Err<>(error);
    }

    /**
     * Applies {@code onOk} to the value or {@code onErr} to the error and returns the function's result.
     *
     * @param onOk called with the value
     * @param onErr called with the error
     * @param <R> type that both functions return
     */
    <R> R fold(Function<? super T, ? extends R> onOk, Function<? super E, ? extends R> onErr);

    /**
     * Maps the value; an error is returned unchanged.
     *
     * @param mapper applied to the value
     * @param <U> type of the mapped value
     */
    default <U> Result<U, E> map(Function<? super T, ? extends U> mapper) {
        return fold(value -> ok(mapper.apply(value)), Result::err);
    }

    /**
     * Maps the error of a lower layer to one of the calling layer.
     *
     * @param mapper applied to the error
     * @param <F> type of the mapped error
     */
    default <F> Result<T, F> mapError(Function<? super E, ? extends F> mapper) {
        return fold(Result::ok, error -> err(mapper.apply(error)));
    }

    /** Returns the value, or an empty optional if this is an error. */
    default Optional<T> value() {
        return fold(Optional::of, _error -> Optional.empty());
    }

    /** Returns the error, or an empty optional if this is a value. */
    default Optional<E> error() {
        return fold(_value -> Optional.empty(), Optional::of);
    }

    /**
     * Holds the value of a successful operation.
     *
     * @param held the value
     * @param <T> type of the value
     * @param <E> type of the error
     */
    record Ok<T, E>(T held) implements Result<T, E> {
        @Override
        public <R> R fold(Function<? super T, ? extends R> onOk, Function<? super E, ? extends R> onErr) {
            return onOk.apply(held);
        }
    }

    /**
     * Holds the error of a failed operation.
     *
     * @param held the error
     * @param <T> type of the value
     * @param <E> type of the error
     */
    record Err<T, E>(E held) implements Result<T, E> {
        @Override
        public <R> R fold(Function<? super T, ? extends R> onOk, Function<? super E, ? extends R> onErr) {
            return onErr.apply(held);
        }
    }
}
