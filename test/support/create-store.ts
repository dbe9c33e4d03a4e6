/** An in-process store service with a client. */
import {StoreClient} from '../../platform/store-client.js';
import {StoreService} from '../../standins/store/store-service.js';
import {RecordingJournal} from './recording-journal.js';
import {serveRoutes} from './serve-routes.js';

/** Starts a separate store service on loopback and creates a client for it. */
export async function createStore() {
	const service = new StoreService();
	const journal = new RecordingJournal();
	const client = new StoreClient(await serveRoutes(service.routes()), journal);
	return {service, journal, client};
}
