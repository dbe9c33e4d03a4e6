/** The store's stand-in and a client of it. */
import {StoreClient} from '../../platform/store-client.js';
import {StoreService} from '../../standins/store/store-service.js';
import {RecordingJournal} from './recording-journal.js';
import {serveRoutes} from './serve-routes.js';

/** A store of its own for each test. */
export async function createStore() {
	const service = new StoreService();
	const journal = new RecordingJournal();
	const client = new StoreClient(await serveRoutes(service.routes()), journal);
	return {service, journal, client};
}
