package org.fescuehollow.gateway.testsupport;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

/**
 * What a client received of a response.
 *
 * @param status the status; 0 if there was no head
 * @param body the bytes received, as ISO 8859-1
 * @param complete whether the response ended as complete, not with its connection
 */
public record StreamedResponse(int status, String body, boolean complete) {
    private static final System.Logger LOG = System.getLogger(StreamedResponse.class.getName());

    static StreamedResponse read(HttpClient client, HttpRequest request, CountDownLatch event) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        try {
            HttpResponse<InputStream> response =
                    client.send(request, HttpResponse.BodyHandlers.ofInputStream());
            status = response.statusCode();
            event.await();
            try (InputStream in = response.body()) {
                byte[] part = new byte[8_192];
                for (int n = in.read(part); n >= 0; n = in.read(part)) {
                    body.write(part, 0, n);
                }
            }
            return new StreamedResponse(status, text(body), true);
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "the response broke off", e);
            return new StreamedResponse(status, text(body), false);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private static String text(ByteArrayOutputStream body) {
        return body.toString(StandardCharsets.ISO_8859_1);
    }
}
