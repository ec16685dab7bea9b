package org.geraniumstand.http.filter;

import java.util.List;
import org.geraniumstand.model.result.Result;

/** Checks one aspect of a request and either passes the request on or rejects it. */
@FunctionalInterface
public interface Filter {
    /**
     * Checks a request.
     *
     * @param admission the request with the results of the earlier filters
     */
    Result<Admission, Rejection> apply(Admission admission);

    /**
     * Returns a filter that applies filters in order until one rejects the request.
     *
     * @param filters the filters in the order of their application
     */
    static Filter chain(List<Filter> filters) {
        return admission -> {
            Result<Admission, Rejection> result = Result.ok(admission);
            for (Filter filter : filters) {
                result = result.fold(filter::apply, Result::err);
            }
            return result;
        };
    }
}
