package org.geraniumstand.http.filter;

import java.util.List;
import org.geraniumstand.model.result.Result;

/** A step of a request's way that passes it on or ends it. */
@FunctionalInterface
public interface Filter {
    /**
     * Looks at a request.
     *
     * @param admission what is known so far
     */
    Result<Admission, Rejection> apply(Admission admission);

    /**
     * Returns a filter that runs some filters in order until one ends the request.
     *
     * @param filters the filters
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
