package org.fescuehollow.gateway.testsupport;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** A client that reads streams of a cluster's nodes, and may leave one. Thread-safe. */
public final class StreamClient {
    private static final String PATH = "/chat/";

    /** Shorter than the silence for which a stream is resumed elsewhere. */
    private static final long OTHERS_BEGIN_MILLIS = 500;

    private final TestCluster mCluster;
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /**
     * What a client received of a stream.
     *
     * @param status the status of the response; 0 if there was none
     * @param body the text of the events or of the error
     * @param complete whether the response ended as complete
     * @param retryAfter the header that asks the client to come back, or null
     */
    public record Answer(int status, String body, boolean complete, String retryAfter) {
        /** Returns the software versions that the events name, without repetitions. */
        public List<String> versions() {
            return body.lines()
                    .filter(l -> l.startsWith("data: "))
                    .map(l -> l.substring("data: ".length()))
                    .distinct()
                    .toList();
        }

        /** Returns whether the whole stream, or the whole rest of it, was received. */
        public boolean isServed() {
            return status == 200 && complete;
        }
    }

    public StreamClient(TestCluster cluster) {
        mCluster = cluster;
    }

    /** Requests a stream and reads it to its end. */
    public Answer read(int node, String id, String... headers) {
        StreamedResponse response =
                StreamedResponse.read(mClient, request(node, id, headers), new CountDownLatch(0));
        return new Answer(response.status(), response.body(), response.complete(), null);
    }

    /** Takes a stream up after an event and reads it to its end. */
    public Answer takeUp(int node, String id, int lastEvent, String first) {
        return read(node, id, "Last-Event-Id", Integer.toString(lastEvent), "Resumes", first);
    }

    /** Requests a stream and reads the whole body of a response that may be an error. */
    public Answer readError(int node, String id, String... headers) {
        try {
            HttpResponse<String> response =
                    mClient.send(request(node, id, headers), HttpResponse.BodyHandlers.ofString());
            String retryAfter = response.headers().firstValue("Retry-After").orElse(null);
            return new Answer(response.statusCode(), response.body(), true, retryAfter);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Requests a stream, reads its first event and leaves. */
    public Answer readOneEvent(int node, String id, String... headers) {
        return readOneEvent(new CountDownLatch(1), node, id, headers);
    }

    /**
     * Requests streams at the same time, reads the first event of each, and leaves all once all
     * have one.
     */
    public List<Answer> readOneEventOfEach(int node, List<String> ids) {
        CountDownLatch begun = new CountDownLatch(ids.size());
        ExecutorService threads = Executors.newFixedThreadPool(ids.size());
        try {
            return ids.stream()
                    .map(id -> threads.submit(() -> readOneEvent(begun, node, id)))
                    .toList()
                    .stream()
                    .map(StreamClient::join)
                    .toList();
        } finally {
            threads.shutdown();
        }
    }

    private static Answer join(Future<Answer> answer) {
        try {
            return answer.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private Answer readOneEvent(CountDownLatch begun, int node, String id, String... headers) {
        try {
            HttpResponse<InputStream> response =
                    mClient.send(
                            request(node, id, headers), HttpResponse.BodyHandlers.ofInputStream());
            try (InputStream in = response.body()) {
                StringBuilder body = new StringBuilder();
                int next = in.read();
                while (next >= 0) {
                    body.append((char) next);
                    next = body.toString().endsWith("\n\n") ? -1 : in.read();
                }
                begun.countDown();
                begun.await(OTHERS_BEGIN_MILLIS, TimeUnit.MILLISECONDS);
                return new Answer(response.statusCode(), body.toString(), false, null);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private HttpRequest request(int node, String id, String... headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(mCluster.clientUri(node, PATH))
                        .header("X-Fescuehollow-Attempt-Id", id)
                        .header("X-Fescuehollow-Deadline-Ms", "120000")
                        .header("X-Fescuehollow-Model", "m")
                        .header("X-Fescuehollow-Token-Usage", "100,10")
                        .POST(HttpRequest.BodyPublishers.ofString("x"));
        return (headers.length > 0 ? request.headers(headers) : request).build();
    }
}
